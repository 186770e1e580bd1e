// Package snapshot turns a table into chunks for the platform's log and back.
// The fold is deterministic, so that two boxes make the same chunks of the same
// offset; a differing hash is an alarm.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"dooryard.example/dooryard/internal/codec"
	"dooryard.example/dooryard/internal/table"
)

// Sentinel errors of snapshots.
var (
	// ErrMalformed means that a chunk or a whole snapshot can't be used.
	ErrMalformed = errors.New("malformed snapshot")
	// ErrDiffers means that two boxes made different snapshots of one offset.
	ErrDiffers = errors.New("snapshots of one offset differ")
)

// Stream is the name of the snapshots' log stream.
const Stream = "table-snapshots"

// Bounds of a snapshot.
const (
	chunkBytes    = 256 << 10
	maxChunks     = 1024
	maxStateBytes = 512 << 20
)

// Chunk is one log record of a snapshot.
type Chunk struct {
	// Offset is the table's offset.
	Offset int64 `json:"offset"`
	// Hash is the SHA-256 of the table's encoding, in hex digits.
	Hash  string `json:"hash"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	// Data is a part of the compressed encoding.
	Data []byte `json:"data"`
}

// UnmarshalJSON decodes and checks a chunk.
func (c *Chunk) UnmarshalJSON(data []byte) error {
	type wire Chunk
	decoded, err := codec.Decode[wire](data, ErrMalformed)
	if err != nil {
		return err
	}
	*c = Chunk(decoded)
	if c.Offset < 0 || c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return fmt.Errorf("%w: chunk %d of %d", ErrMalformed, c.Index, c.Count)
	}
	if len(c.Hash) != hex.EncodedLen(sha256.Size) || len(c.Data) > chunkBytes {
		return fmt.Errorf("%w: hash or data", ErrMalformed)
	}
	return nil
}

// Make returns the chunks of a table.
func Make(state *table.State) ([]Chunk, error) {
	encoded, err := state.Encode()
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(encoded)
	compressed := Compress(encoded)
	count := (len(compressed) + chunkBytes - 1) / chunkBytes
	if count > maxChunks {
		return nil, fmt.Errorf("%w: %d chunks", ErrMalformed, count)
	}
	chunks := make([]Chunk, count)
	for i := range chunks {
		end := min((i+1)*chunkBytes, len(compressed))
		chunks[i] = Chunk{
			Offset: state.Offset(), Hash: hex.EncodeToString(digest[:]), Index: i, Count: count,
			Data: compressed[i*chunkBytes : end],
		}
	}
	return chunks, nil
}

// Assembler puts chunks together, which may come in any order and more than
// once, from several boxes.
type Assembler struct {
	parts map[partKey]map[int][]byte
	// hashes are those of each offset.
	hashes map[int64]string
}

type partKey struct {
	offset int64
	hash   string
	count  int
}

// NewAssembler returns an assembler without chunks.
func NewAssembler() *Assembler {
	return &Assembler{parts: map[partKey]map[int][]byte{}, hashes: map[int64]string{}}
}

// Add takes in a chunk. ErrDiffers means that another box made something else
// of the same offset; both are kept.
func (a *Assembler) Add(c Chunk) error {
	key := partKey{offset: c.Offset, hash: c.Hash, count: c.Count}
	if a.parts[key] == nil {
		a.parts[key] = map[int][]byte{}
	}
	a.parts[key][c.Index] = c.Data
	known, found := a.hashes[c.Offset]
	a.hashes[c.Offset] = c.Hash
	if found && known != c.Hash {
		return fmt.Errorf("%w: offset %d: %s and %s", ErrDiffers, c.Offset, known, c.Hash)
	}
	return nil
}

// Newest returns the newest whole table, or nil when none is whole.
func (a *Assembler) Newest() (*table.State, error) {
	newest, found := partKey{}, false
	for key, parts := range a.parts {
		if len(parts) == key.count && (!found || key.offset > newest.offset) {
			newest, found = key, true
		}
	}
	if !found {
		return nil, nil //nolint:nilnil // no snapshot is no error
	}
	return assemble(newest, a.parts[newest])
}

func assemble(key partKey, parts map[int][]byte) (*table.State, error) {
	compressed := []byte{}
	for i := range key.count {
		compressed = append(compressed, parts[i]...)
	}
	encoded, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(encoded)
	if hex.EncodeToString(digest[:]) != key.hash {
		return nil, fmt.Errorf("%w: hash of offset %d", ErrMalformed, key.offset)
	}
	state, err := table.Decode(encoded)
	if err != nil {
		return nil, err
	}
	if state.Offset() != key.offset {
		return nil, fmt.Errorf("%w: offset %d in a snapshot of %d", ErrMalformed, state.Offset(), key.offset)
	}
	return state, nil
}

// Compress returns data in zstd's form.
func Compress(data []byte) []byte {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		// Only wrong options fail.
		panic(err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(data, nil)
}

// Decompress undoes Compress.
func Decompress(data []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	defer decoder.Close()
	decoded, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return decoded, nil
}
