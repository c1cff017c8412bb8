package engine

import (
	"hash/fnv"
)

// blockTokens is the number of prompt tokens per block of the prefix cache.
const blockTokens = 16

// cache holds hashed prompt prefixes by block, with first-in, first-out eviction.
type cache struct {
	maxBlocks int
	blocks    map[uint64]bool
	byAge     []uint64
}

// lookupAndAdd caches the prompt and returns how many leading tokens were cached before.
func (c *cache) lookupAndAdd(prompt []string) int {
	if c.blocks == nil {
		c.blocks = map[uint64]bool{}
	}
	cached := 0
	hash := fnv.New64a()
	hit := true
	for start := 0; start+blockTokens <= len(prompt); start += blockTokens {
		for _, token := range prompt[start : start+blockTokens] {
			_, _ = hash.Write([]byte(token))
		}
		block := hash.Sum64()
		hit = hit && c.blocks[block]
		if hit {
			cached += blockTokens
			continue
		}
		c.add(block)
	}
	return cached
}

func (c *cache) add(block uint64) {
	if c.maxBlocks <= 0 || c.blocks[block] {
		return
	}
	c.blocks[block] = true
	c.byAge = append(c.byAge, block)
	if len(c.byAge) > c.maxBlocks {
		delete(c.blocks, c.byAge[0])
		c.byAge = c.byAge[1:]
	}
}
