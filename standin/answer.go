package standin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	stopDirective = "[stop="
	hexBase       = 16
	tokenMask     = 0xffff
)

var words = []string{
	"amber", "bevel", "cames", "drum", "easel", "flux", "glass", "hoop",
	"inlay", "joint", "kiln", "lead", "mortar", "nickel", "opal", "pane",
	"quarry", "rim", "solder", "tracing", "umber", "vellum", "weld", "zinc",
}

// Answer returns the tokens that every stand-in engine generates for a model and a
// prompt, up to maxTokens. If the prompt ends with "[stop=N]", the answer stops
// after N tokens.
func Answer(model, prompt string, maxTokens int) []string {
	seed := answerSeed(model, prompt)
	tokens := make([]string, 0, maxTokens)
	for i := range answerLength(prompt, maxTokens) {
		tokens = append(tokens, tokenText(seed, i))
	}
	return tokens
}

func answerSeed(model, prompt string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

func tokenText(seed uint64, i int) string {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], seed)
	binary.LittleEndian.PutUint64(raw[8:], uint64(i))
	sum := xxhash.Sum64(raw[:])
	return " " + words[sum%uint64(len(words))] + strconv.FormatUint((sum>>32)&tokenMask, hexBase)
}

// answerLength returns the number of tokens in the complete answer.
func answerLength(prompt string, maxTokens int) int {
	if stop := stopLength(prompt); stop > 0 {
		return min(stop, maxTokens)
	}
	return maxTokens
}

// stopLength returns N of a "[stop=N]" at the end of the prompt, or 0 if there is
// none.
func stopLength(prompt string) int {
	text, ok := strings.CutSuffix(strings.TrimSpace(prompt), "]")
	if !ok {
		return 0
	}
	i := strings.LastIndex(text, stopDirective)
	if i < 0 {
		return 0
	}
	n, err := strconv.Atoi(text[i+len(stopDirective):])
	if err != nil || n < 1 {
		return 0
	}
	return n
}
