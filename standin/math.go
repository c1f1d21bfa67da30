// SPDX-License-Identifier: Apache-2.0

package standin

import "pinerun.example/pinerun/coordination/stream"

// The stand-in model is a chain of hashes: each layer mixes the hidden state
// with what it has seen at earlier positions. A token therefore depends on
// every layer of every position before it, each once and in order.

const (
	// endOdds is one in how many tokens ends an answer early.
	endOdds = 256
	// alphabet is how many different tokens the model answers with.
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

// runLayer returns the layer's output for one position, and its new cache.
func runLayer(layer int, hidden, cache uint64) (out, newCache uint64) {
	return mix(mix(hidden, cache), uint64(layer)), mix(cache, hidden)
}

func embed(token int32) uint64 { return mix(uint64(uint32(token)), mixMultiply) }

// pickToken turns the last layer's output into a token: a letter, a space, or
// the end of the answer.
func pickToken(hidden uint64) int32 {
	if hidden%endOdds == 0 {
		return stream.EndToken
	}
	letter := int32(hidden / endOdds % alphabet)
	if letter == alphabet-1 {
		return ' '
	}
	return 'a' + letter
}

// ExpectedAnswer returns the answer that a model of that many layers gives to a prompt
// when nothing goes wrong: up to limit tokens.
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
