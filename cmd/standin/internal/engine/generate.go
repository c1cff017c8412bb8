package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

const defaultTokens = 16

var vocabulary = []string{"hour", "ledger", "branch", "offer", "note", "match", "record", "study", "impact", "fund", "swap", "draft"}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model        string    `json:"model"`
	Prompt       string    `json:"prompt"`
	Messages     []message `json:"messages"`
	MaxTokens    int       `json:"max_tokens"`
	Priority     int       `json:"priority"`
	Seed         uint64    `json:"seed"`
	ResumeTokens []int32   `json:"resume_tokens"`
}

// promptText returns the prompt, or the concatenated messages of a chat.
func (c completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var parts []string
	for _, message := range c.Messages {
		parts = append(parts, message.Role+": "+message.Content)
	}
	return strings.Join(parts, "\n")
}

type choice struct {
	Index    int               `json:"index"`
	Text     string            `json:"text,omitempty"`
	Delta    map[string]string `json:"delta,omitempty"`
	Tokens   []int32           `json:"token_ids"`
	Logprobs []float32         `json:"logprobs"`
	Finish   *string           `json:"finish_reason"`
}

type usage struct {
	Prompt int `json:"prompt_tokens"`
	Cached int `json:"cached_tokens"`
	Output int `json:"completion_tokens"`
}

type event struct {
	Choices []choice `json:"choices"`
	Version uint64   `json:"weight_version"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !answer.Read(w, r, &request) {
		return
	}
	faults, _ := e.state()
	if faults.Refuse || request.Model != e.Model {
		answer.Error(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if !e.acquireSlot(r.Context(), request.Priority) {
		answer.Error(w, http.StatusServiceUnavailable, "full")
		return
	}
	defer e.releaseSlot()
	e.mutex.Lock()
	e.requests++
	prompt := strings.Fields(request.promptText())
	cached := e.cache.lookupAndAdd(prompt)
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	g := &generation{engine: e, request: request, prompt: prompt, cached: cached, w: w, chat: strings.HasSuffix(r.URL.Path, "chat/completions")}
	g.run(r.Context())
}

// generation is a running request.
type generation struct {
	engine  *Engine
	request completionRequest
	prompt  []string
	cached  int
	w       http.ResponseWriter
	chat    bool
}

func (g *generation) run(ctx context.Context) {
	if !g.wait(ctx, time.Duration(len(g.prompt)-g.cached)*g.engine.PrefillTime) {
		return
	}
	tokens := g.request.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	for i := len(g.request.ResumeTokens); i < tokens; i++ {
		if !g.wait(ctx, g.engine.TokenTime) {
			return
		}
		faults, version := g.engine.state()
		if faults.Cut > 0 && i >= faults.Cut {
			answer.Abort(g.w)
			return
		}
		g.sendEvent(event{Choices: []choice{g.choice(i)}, Version: version})
	}
	finish := "length"
	_, version := g.engine.state()
	last := g.emptyChoice()
	last.Finish = &finish
	g.sendEvent(event{Choices: []choice{last}, Version: version, Usage: &usage{Prompt: len(g.prompt), Cached: g.cached, Output: tokens}})
	g.writeAndFlush("data: [DONE]\n\n")
}

// wait blocks for the duration and while Hang is set; it returns false if ctx ends first.
func (g *generation) wait(ctx context.Context, duration time.Duration) bool {
	faults, _ := g.engine.state()
	if faults.Slow > 0 {
		duration = time.Duration(float64(duration) * faults.Slow)
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	for {
		faults, _ := g.engine.state()
		if !faults.Hang {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// choice returns a response choice with token i, which depends only on prompt, seed and i.
func (g *generation) choice(i int) choice {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d %d", g.request.promptText(), g.request.Seed, i)
	index := int32(hash.Sum64() % uint64(len(vocabulary)))
	token := g.emptyChoice()
	token.Tokens = []int32{index}
	token.Logprobs = []float32{-1}
	text := vocabulary[index] + " "
	if g.chat {
		token.Delta["content"] = text
	} else {
		token.Text = text
	}
	return token
}

func (g *generation) emptyChoice() choice {
	empty := choice{Tokens: []int32{}, Logprobs: []float32{}}
	if g.chat {
		empty.Delta = map[string]string{}
	}
	return empty
}

func (g *generation) sendEvent(event event) {
	text, err := json.Marshal(event)
	if err != nil {
		return
	}
	g.writeAndFlush("data: " + string(text) + "\n\n")
}

func (g *generation) writeAndFlush(text string) {
	_, _ = g.w.Write([]byte(text))
	_ = http.NewResponseController(g.w).Flush()
}
