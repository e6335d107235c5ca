/* Names shared by all specifications. */

#define NO_BACKEND 0
#define BACKEND_A  1 /* the base: where the flows of the old generation live */
#define BACKEND_B  2 /* the target of the new generation */
#define REFUSED    4 /* the verdict of a refusal pin */

/* A run checks the one property that -DPROPERTY=name selects, and a mutant must break that one. */
#define ONE_BACKEND       1
#define NOT_RUN           2
#define NO_NEW_ON_LEAVING 3
#define PINS_AGREE        4
#define NEVER_BACK        5
#define SAME_CONTENT      6
#define NEVER_LOST        7
#define FENCED            8
#define CONFLICT_IS_VOID  9
#define ALL_LEARN         10

#ifndef PROPERTY
#error "select a property by -DPROPERTY=..."
#endif

#define CHECK(name, condition) assert(PROPERTY != name || (condition))
