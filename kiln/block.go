package kiln

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of a prefix block of prompt text.
	BlockBytes = 1024
	// bytesPerToken is the assumed mean size of a token's text.
	bytesPerToken = 4
)

// HashBlocks returns the chained hashes of the complete blocks of text. The first n
// hashes of two texts are equal if their first n blocks are equal.
func HashBlocks(text string) []uint64 {
	n := len(text) / BlockBytes
	if n == 0 {
		return nil
	}
	blocks := make([]uint64, 0, n)
	var chain [8]byte
	digest := xxhash.New()
	for i := range n {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(text[i*BlockBytes : (i+1)*BlockBytes])
		sum := digest.Sum64()
		blocks = append(blocks, sum)
		binary.LittleEndian.PutUint64(chain[:], sum)
	}
	return blocks
}

// NewPrompt returns a prompt for text. The number of tokens is estimated from the size.
func NewPrompt(text string) Prompt {
	return Prompt{
		Text:   text,
		Tokens: (len(text) + bytesPerToken - 1) / bytesPerToken,
		Blocks: HashBlocks(text),
	}
}
