// Package codec decodes the wire types of the project's own records.
package codec

import (
	"encoding/json"
	"fmt"
)

// Decode reads JSON into the plain form of a wire type, for the type's own
// UnmarshalJSON to check. Its errors wrap malformed.
func Decode[W any](data []byte, malformed error) (W, error) {
	var decoded W
	if err := json.Unmarshal(data, &decoded); err != nil {
		return decoded, fmt.Errorf("%w: %w", malformed, err)
	}
	return decoded, nil
}
