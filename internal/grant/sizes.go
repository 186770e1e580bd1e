package grant

// Sizes are the sizes in bytes of this package's datagrams on the wire.
type Sizes struct {
	Ask, Reply, Hint, InFlight, Placement int
}

// WireSizes returns the sizes of the datagrams, which are constant.
func WireSizes() Sizes {
	const envelope = 1 + MACBytes
	return Sizes{
		Ask:       envelope + len(encodeMessage(kindAsk, askMessage{})),
		Reply:     envelope + len(encodeMessage(kindReply, replyMessage{})),
		Hint:      envelope + len(encodeMessage(kindHint, hintMessage{})),
		InFlight:  envelope + len(encodeMessage(kindInFlight, inFlightMessage{})),
		Placement: envelope + len(encodeMessage(kindPlacement, placementMessage{})),
	}
}
