// Package arenas limits the address space that the C library reserves. Only the main packages of daemons import it.
// Builds without cgo have no C library, which leaves nothing to limit.
package arenas
