package soak

// Regression holds seeds that once failed and the cause of the failure.
type Regression struct {
	Seeds []uint64
	Cause string
}

// Regressions returns all seeds that ever failed, grouped by cause.
func Regressions() []Regression {
	return []Regression{
		{
			Seeds: []uint64{100, 102, 103, 104, 105, 106, 107, 108, 109, 112, 114, 115, 117, 118, 126},
			Cause: "fault in the soak: a fake server answered a stream with a plain body when it was to answer twice",
		},
		{
			Seeds: []uint64{131},
			Cause: "fault in the soak: two overlapping faults started a box twice; the first process was never " +
				"killed and connected to ports that a later run used",
		},
		{
			Seeds: []uint64{500, 501},
			Cause: "boxes ignored the Retry-After of servers' refusals and continued to send: " +
				"up to 10 and 8 requests in one backoff period",
		},
		{
			Seeds: []uint64{614, 664},
			Cause: "fault in the soak: two runs at the same time; while a server refused connections, a server of " +
				"the other run with the same id took its port and ran its requests",
		},
		{
			Seeds: []uint64{9000, 9112},
			Cause: "fault in the soak: boxes were to respect a backoff that they never received, because the server's " +
				"link was silent (9000, with partitions) or the client had left (9112)",
		},
		{
			Seeds: []uint64{95045},
			Cause: "boxes that started right after a restore of the store trusted the keys of the backup (with " +
				"--processes --overlaps and a span of 30 s)",
		},
	}
}
