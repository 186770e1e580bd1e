// Package codec decodes the wire types that this project defines.
package codec

import (
	"encoding/json"
	"fmt"
)

// Decode decodes JSON into a plain copy of a wire type, which the UnmarshalJSON method of the type
// then validates. Its errors wrap malformed.
func Decode[W any](data []byte, malformed error) (W, error) {
	var decoded W
	if err := json.Unmarshal(data, &decoded); err != nil {
		return decoded, fmt.Errorf("%w: %w", malformed, err)
	}
	return decoded, nil
}
