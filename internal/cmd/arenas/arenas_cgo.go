//go:build cgo

package arenas

/*
#include <malloc.h>

// By default, each thread may reserve an arena of at least 64 MB. The Go runtime allocates from its own heap.
#ifdef M_ARENA_MAX
__attribute__((constructor)) static void limit_arenas(void) { mallopt(M_ARENA_MAX, 1); }
#endif
*/
import "C"
