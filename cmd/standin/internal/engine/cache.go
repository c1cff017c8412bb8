package engine

import (
	"hash/fnv"
)

// blockTokens is how many prompt tokens a block of the prefix cache holds.
const blockTokens = 16

// cache keeps prompt prefixes by blocks; the oldest leave first.
type cache struct {
	size   int
	known  map[uint64]bool
	oldest []uint64
}

// use returns how many tokens of the prompt were cached, and caches the prompt.
func (c *cache) use(prompt []string) int {
	if c.known == nil {
		c.known = map[uint64]bool{}
	}
	cached := 0
	hash := fnv.New64a()
	hit := true
	for start := 0; start+blockTokens <= len(prompt); start += blockTokens {
		for _, token := range prompt[start : start+blockTokens] {
			_, _ = hash.Write([]byte(token))
		}
		block := hash.Sum64()
		hit = hit && c.known[block]
		if hit {
			cached += blockTokens
			continue
		}
		c.add(block)
	}
	return cached
}

func (c *cache) add(block uint64) {
	if c.size <= 0 || c.known[block] {
		return
	}
	c.known[block] = true
	c.oldest = append(c.oldest, block)
	if len(c.oldest) > c.size {
		delete(c.known, c.oldest[0])
		c.oldest = c.oldest[1:]
	}
}
