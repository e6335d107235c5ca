use crate::fixture::{PARAMETERS, advance, backend, contested, members, service, two_services};
use bellyoke_core::generation::{
    DecodeError, DeltaError, DesiredState, Generation, GenerationDelta, compile,
};
use bellyoke_core::identity::GenerationNumber;

/// Returns successive generations with services of 15 and 4 backends and 1,024 buckets each.
fn history() -> Vec<Generation> {
    let mut desired = two_services(15, 4);
    for service in &mut desired.services {
        service.buckets = 1024;
    }
    let first = advance(None, &desired, &[]).generation;
    desired.backends[2].drain = true;
    let second = advance(Some(&first), &desired, &[]).generation;
    desired.backends.remove(3);
    desired.backends.push(backend(90, "till"));
    desired.services.push(service("board", 3));
    let third = advance(Some(&second), &desired, &[]).generation;
    let fourth = advance(Some(&third), &desired, &contested(&third)).generation;
    desired.services.remove(1);
    let fifth = advance(Some(&fourth), &desired, &[]).generation;
    vec![first, second, third, fourth, fifth]
}

/// Returns a configuration of 5,700 backends in 1,800 services.
fn large() -> DesiredState {
    let mut desired = two_services(0, 0);
    desired.services.clear();
    for index in 0..1800_u16 {
        let mut service = service(&format!("service-{index}"), (index % 250) as u8);
        service.port = 1000 + index;
        service.buckets = 1024;
        desired.services.push(service);
    }
    for host in 0..5700_u16 {
        let name = format!("service-{}", host % 1800);
        desired.backends.push(backend(host, &name));
    }
    desired
}

#[test]
fn encoding_and_decoding_give_the_same_generation() {
    for generation in history() {
        let decoded = Generation::decode(&generation.encode()).unwrap();
        assert_eq!(decoded, generation);
        assert_eq!(decoded.digest(), generation.digest());
    }
}

#[test]
fn deltas_apply_between_any_two_generations_in_order() {
    let history = history();
    for (index, old) in history.iter().enumerate() {
        for new in &history[index..] {
            let delta = GenerationDelta::between(old, new);
            let delta = GenerationDelta::decode(&delta.encode()).unwrap();
            assert_eq!(delta.apply(old).as_ref(), Ok(new));
        }
    }
}

#[test]
fn a_delta_applies_only_to_its_base() {
    let history = history();
    let delta = GenerationDelta::between(&history[0], &history[1]);
    let error = DeltaError::Base {
        expected: GenerationNumber(1),
        actual: GenerationNumber(2),
    };
    assert_eq!(delta.apply(&history[1]), Err(error));
    let mut other = history[0].clone();
    other.backends[0].name.push('x');
    assert!(matches!(
        delta.apply(&other),
        Err(DeltaError::Digest { .. })
    ));
}

#[test]
fn every_difference_changes_the_digest() {
    let generation = &history()[2];
    let mut bucket = generation.clone();
    bucket.services[0].buckets[5].contested_since.0 += 1;
    let mut member = generation.clone();
    member.members[0].zone.0.push('x');
    assert_ne!(bucket.digest(), generation.digest());
    assert_ne!(member.digest(), generation.digest());
}

#[test]
fn corrupt_bytes_are_rejected_without_panic() {
    let encoded = history()[1].encode();
    assert_eq!(Generation::decode(&[]), Err(DecodeError::Empty));
    assert_eq!(Generation::decode(&[9, 0]), Err(DecodeError::Format(9)));
    let oversized_length = [1, 255, 255, 255, 255, 0];
    assert!(matches!(
        Generation::decode(&oversized_length),
        Err(DecodeError::TooLong(_))
    ));
    for length in 0..encoded.len() {
        assert!(Generation::decode(&encoded[..length]).is_err());
    }
    let original = Generation::decode(&encoded).unwrap();
    for position in (0..encoded.len()).step_by(3) {
        let mut corrupt = encoded.clone();
        corrupt[position] ^= 0x55;
        if let Ok(generation) = Generation::decode(&corrupt) {
            let same_digest = generation.digest() == original.digest();
            assert_eq!(same_digest, generation == original);
        }
    }
}

#[test]
fn sizes() {
    let history = history();
    let drain = GenerationDelta::between(&history[0], &history[1]).encode();
    let mut desired = large();
    let compile = |previous, desired: &DesiredState| {
        let result = compile(previous, desired, &members(620), &[], PARAMETERS);
        result.unwrap().generation
    };
    let first = compile(None, &desired);
    desired.backends[7].drain = true;
    let second = compile(Some(&first), &desired);
    let large_drain = GenerationDelta::between(&first, &second);
    assert_eq!(large_drain.apply(&first).as_ref(), Ok(&second));
    let report = format!(
        "19 backends, 2 services, 3 members: generation {} bytes, drain of one {} bytes\n\
         5,700 backends, 1,800 services, 620 members: generation {} bytes, drain of one {} bytes",
        history[0].encode().len(),
        drain.len(),
        first.encode().len(),
        large_drain.encode().len(),
    );
    insta::assert_snapshot!(report, @"
    19 backends, 2 services, 3 members: generation 860 bytes, drain of one 278 bytes
    5,700 backends, 1,800 services, 620 members: generation 268232 bytes, drain of one 254 bytes
    ");
}
