package opaque

// EndCheck is the check by which a response of an upstream was taken for complete. Its text is written to the log.
type EndCheck string

// Checks of the end of a response.
const (
	// EndWithoutBody is the end of a response that has no body.
	EndWithoutBody EndCheck = "no_body"
	// EndByLength is the end of a body of a known length.
	EndByLength EndCheck = "length"
	// EndByLastChunk is the last chunk.
	EndByLastChunk EndCheck = "last_chunk"
	// EndConfirmed is an orderly close by a process that has responded to a request sent after it.
	EndConfirmed EndCheck = "upstream_responds"
	// EndUnconfirmed is an orderly close by a process at whose address connections are accepted. Another process may
	// accept them.
	EndUnconfirmed EndCheck = "upstream_accepts"
)
