package soak

// Regression is seeds that once failed, with what was at fault.
type Regression struct {
	Seeds []uint64
	Cause string
}

// Regressions returns all seeds that ever failed, by cause.
func Regressions() []Regression {
	return []Regression{
		{
			Seeds: []uint64{100, 102, 103, 104, 105, 106, 107, 108, 109, 112, 114, 115, 117, 118, 126},
			Cause: "the soak's own: a stand-in server answered a stream by a plain body when it was to answer twice",
		},
		{
			Seeds: []uint64{131},
			Cause: "the soak's own: two faults that overlapped started a box twice; the first process was never " +
				"ended and called ports that a later run used",
		},
		{
			Seeds: []uint64{500, 501},
			Cause: "boxes did not hear that servers asked them for rest in their refusals, and sent on: " +
				"up to 10 and 8 requests in a rest",
		},
		{
			Seeds: []uint64{614, 664},
			Cause: "the soak's own: two runs at once; while a server refused connections its port was taken by a " +
				"server of the other run under the same id, which ran its requests",
		},
	}
}
