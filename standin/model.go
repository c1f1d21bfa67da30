// SPDX-License-Identifier: Apache-2.0

package standin

import "pinerun.example/pinerun/coordination/stream"

// The stand-in model is a chain of hashes: each layer mixes the hidden state with
// its cache of earlier positions. A token therefore depends on every layer of every
// earlier position, and is correct only if each layer ran exactly once and in order.

const (
	// endTokenOdds makes one in this many tokens the end token.
	endTokenOdds = 256
	// alphabet is the number of distinct output tokens besides the end token.
	alphabet    = 27
	mixMultiply = 0x9e3779b97f4a7c15
)

func mix(a, b uint64) uint64 {
	a ^= b + mixMultiply + a<<6 + a>>2
	a ^= a >> 33
	a *= 0xff51afd7ed558ccd
	a ^= a >> 33
	a *= 0xc4ceb9fe1a85ec53
	return a ^ a>>33
}

// runLayer returns the output and the new cache of a layer for one position.
func runLayer(layer int, hidden, cache uint64) (out, newCache uint64) {
	return mix(mix(hidden, cache), uint64(layer)), mix(cache, hidden)
}

func embed(token int32) uint64 { return mix(uint64(uint32(token)), mixMultiply) }

// pickToken maps the output of the last layer to a token: a letter, a space or the
// end token.
func pickToken(hidden uint64) int32 {
	if hidden%endTokenOdds == 0 {
		return stream.EndToken
	}
	letter := int32(hidden / endTokenOdds % alphabet)
	if letter == alphabet-1 {
		return ' '
	}
	return 'a' + letter
}

// ExpectedAnswer returns the correct answer to a prompt, of at most limit tokens, from a
// model with the given number of layers.
func ExpectedAnswer(layers int, prompt []int32, limit int) []int32 {
	caches := make([]uint64, layers)
	run := func(token int32) int32 {
		hidden := embed(token)
		for l := range layers {
			hidden, caches[l] = runLayer(l, hidden, caches[l])
		}
		return pickToken(hidden)
	}
	var next int32
	for _, t := range prompt {
		next = run(t)
	}
	var answer []int32
	for next != stream.EndToken && len(answer) < limit {
		answer = append(answer, next)
		next = run(next)
	}
	return answer
}
