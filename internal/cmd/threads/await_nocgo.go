//go:build !cgo

package threads

// creatable returns how many threads the limit of the user leaves, and at most a number. Without C no thread can be
// created unless the Go runtime knows it, and the runtime ends the process when it gets none. What else limits threads,
// such as a control group, is not seen, the start does not wait for threads, and one that other processes of the user
// take in between may be missing.
func creatable(most int) int {
	if left, limited := left(); limited {
		return min(most, left)
	}
	return most
}
