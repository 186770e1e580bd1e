// Package snapshot splits a table into chunks for the platform's log and assembles
// them again. Applying edits is deterministic, so two boxes create the same chunks
// for the same offset. Different hashes for one offset mean that their tables
// diverged, which must raise an alarm.
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
	// ErrMalformed is returned for a chunk or snapshot that is invalid.
	ErrMalformed = errors.New("malformed snapshot")
	// ErrDiffers means that two boxes created different snapshots of the same
	// offset.
	ErrDiffers = errors.New("snapshots of the same offset differ")
)

// Stream is the name of the log stream that holds the snapshots.
const Stream = "table-snapshots"

// Limits of a snapshot.
const (
	chunkBytes    = 256 << 10
	maxChunks     = 1024
	maxStateBytes = 512 << 20
)

// Chunk is one log record of a snapshot.
type Chunk struct {
	// Offset is the offset of the table.
	Offset int64 `json:"offset"`
	// Hash is the SHA-256 of the encoded table in hex digits.
	Hash  string `json:"hash"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	// Data is one part of the compressed encoded table.
	Data []byte `json:"data"`
}

// UnmarshalJSON decodes and validates a chunk.
func (c *Chunk) UnmarshalJSON(data []byte) error {
	type wire Chunk
	decoded, err := codec.Decode[wire](data, ErrMalformed)
	if err != nil {
		return err
	}
	*c = Chunk(decoded)
	if c.Offset < 0 || c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return fmt.Errorf("%w: invalid offset or index: chunk %d of %d", ErrMalformed, c.Index, c.Count)
	}
	if len(c.Hash) != hex.EncodedLen(sha256.Size) || len(c.Data) > chunkBytes {
		return fmt.Errorf("%w: invalid hash or size of data", ErrMalformed)
	}
	return nil
}

// Make returns the snapshot of a table as chunks.
func Make(state *table.State) ([]Chunk, error) {
	encoded, err := state.Encode()
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(encoded)
	compressed := Compress(encoded)
	count := (len(compressed) + chunkBytes - 1) / chunkBytes
	if count > maxChunks {
		return nil, fmt.Errorf("%w: too many chunks: %d", ErrMalformed, count)
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

// Assembler assembles snapshots from chunks. Chunks may be added in any order,
// more than once and from several boxes.
type Assembler struct {
	chunks map[snapshotKey]map[int][]byte
	// hashes holds the hash that was added last for each offset.
	hashes map[int64]string
}

// snapshotKey identifies one version of a snapshot.
type snapshotKey struct {
	offset int64
	hash   string
	count  int
}

// NewAssembler returns an Assembler without chunks.
func NewAssembler() *Assembler {
	return &Assembler{chunks: map[snapshotKey]map[int][]byte{}, hashes: map[int64]string{}}
}

// Add adds a chunk. It returns ErrDiffers if a chunk with a different hash was
// added for the same offset; both are kept.
func (a *Assembler) Add(c Chunk) error {
	key := snapshotKey{offset: c.Offset, hash: c.Hash, count: c.Count}
	if a.chunks[key] == nil {
		a.chunks[key] = map[int][]byte{}
	}
	a.chunks[key][c.Index] = c.Data
	known, found := a.hashes[c.Offset]
	a.hashes[c.Offset] = c.Hash
	if found && known != c.Hash {
		return fmt.Errorf("%w: offset %d: %s and %s", ErrDiffers, c.Offset, known, c.Hash)
	}
	return nil
}

// Newest returns the table of the newest complete snapshot, or nil if no snapshot
// is complete.
func (a *Assembler) Newest() (*table.State, error) {
	newest, found := snapshotKey{}, false
	for key, chunks := range a.chunks {
		if len(chunks) == key.count && (!found || key.offset > newest.offset) {
			newest, found = key, true
		}
	}
	if !found {
		return nil, nil //nolint:nilnil // a missing snapshot is not an error
	}
	return assemble(newest, a.chunks[newest])
}

func assemble(key snapshotKey, chunks map[int][]byte) (*table.State, error) {
	compressed := []byte{}
	for i := range key.count {
		compressed = append(compressed, chunks[i]...)
	}
	encoded, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(encoded)
	if hex.EncodeToString(digest[:]) != key.hash {
		return nil, fmt.Errorf("%w: hash mismatch at offset %d", ErrMalformed, key.offset)
	}
	state, err := table.Decode(encoded)
	if err != nil {
		return nil, err
	}
	if state.Offset() != key.offset {
		return nil, fmt.Errorf("%w: table at offset %d in a snapshot of %d", ErrMalformed, state.Offset(), key.offset)
	}
	return state, nil
}

// Compress compresses data with zstd.
func Compress(data []byte) []byte {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		// NewWriter fails only on invalid options.
		panic(err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(data, nil)
}

// Decompress decompresses the output of Compress.
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
