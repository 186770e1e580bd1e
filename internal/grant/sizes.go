package grant

// Sizes are the sizes in bytes of this package's datagrams on the wire.
type Sizes struct {
	Ask, Reply, Hint, Hold, News int
}

// WireSizes returns the sizes of the datagrams, which are constant.
func WireSizes() Sizes {
	const envelope = 1 + CodeBytes
	return Sizes{
		Ask:   envelope + len(encodeMessage(kindAsk, askMessage{})),
		Reply: envelope + len(encodeMessage(kindReply, replyMessage{})),
		Hint:  envelope + len(encodeMessage(kindHint, hintMessage{})),
		Hold:  envelope + len(encodeMessage(kindHold, holdMessage{})),
		News:  envelope + len(encodeMessage(kindNews, newsMessage{})),
	}
}
