// Package work estimates how many tokens a request makes an engine prefill and hold.
package work

// MaxTokens limits the numbers of tokens that callers tell. It is far above what an engine holds, and keeps sums from
// overflowing.
const MaxTokens = 10_000_000

// Demand is what a caller tells of the size of a request.
type Demand struct {
	// PromptTokens is the length of the prompt, and SharedTokens the length of its parts but the last one.
	PromptTokens int
	SharedTokens int
	// MaxOutputTokens is the maximum length of the output, or 0 if it is unknown.
	MaxOutputTokens int
	// HintTokens is the caller's guess of the length of the output, or 0. It is right in the median and often far off.
	HintTokens int
}
