// Package work estimates how many tokens a request makes an engine prefill and hold.
package work

// MaxTokens limits the numbers of tokens that callers state. It is far above what an engine holds, and keeps sums from
// overflowing.
const MaxTokens = 10_000_000

// Demand is the size of a request in tokens, as its caller states it.
type Demand struct {
	// PromptTokens is the length of the prompt, and SharedTokens the length of its parts but the last one.
	PromptTokens int
	SharedTokens int
	// MaxOutputTokens is the maximum length of the output, or 0 if it is unknown.
	MaxOutputTokens int
	// HintTokens is the caller's estimate of the length of the output, or 0 if there is none. It is correct at the
	// median, and single estimates are often off by a factor of several.
	HintTokens int
}
