package entry

import (
	"sync"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/quarantine"
)

const (
	// soundSpan is how long an answer that ended well speaks for the parts of its prompt. A part that is in many requests
	// is at nearly every crash, and must not be suspected whenever one happens.
	soundSpan = 10 * time.Second
	// soundPrompts is how many prompts of such answers are remembered: 10 s of 100 answers a second.
	soundPrompts = 1024
	// soundDigestSpan is how long the digests of what is remembered are used before they are made anew.
	soundDigestSpan = 200 * time.Millisecond
)

// soundParts remembers which parts were in prompts whose answers ended well here. Noting one takes no allocation; digests
// are made only while something is suspected. It is safe for concurrent use.
type soundParts struct {
	mutex sync.Mutex
	// prompts is a ring; next is the place of the next one.
	prompts []soundPrompt
	next    int
	// digests are those of the parts remembered at digestedAt, with when each was last in a good answer.
	digests    map[quarantine.Digest]time.Time
	digestedAt time.Time
}

type soundPrompt struct {
	at    time.Time
	parts []gateway.PromptPart
}

func newSoundParts() *soundParts { return &soundParts{prompts: make([]soundPrompt, soundPrompts)} }

// add notes that the answer to a prompt ended well.
func (s *soundParts) add(now time.Time, prompt []gateway.PromptPart) {
	s.mutex.Lock()
	s.prompts[s.next] = soundPrompt{at: now, parts: prompt}
	s.next = (s.next + 1) % len(s.prompts)
	s.mutex.Unlock()
}

// recent calls a function with the shared parts of good answers, the newest first.
func (s *soundParts) recent(now time.Time, do func(at time.Time, id string)) {
	for back := 1; back <= len(s.prompts); back++ {
		known := &s.prompts[(s.next-back+len(s.prompts))%len(s.prompts)]
		if known.at.IsZero() || now.Sub(known.at) >= soundSpan {
			return
		}
		for _, part := range known.parts[:len(known.parts)-1] {
			do(known.at, part.ID)
		}
	}
}

// unproven returns those of the parts that were in no good answer a moment ago.
func (s *soundParts) unproven(now time.Time, parts []quarantine.Part) []quarantine.Part {
	if len(parts) == 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	proven := map[string]bool{}
	s.recent(now, func(_ time.Time, id string) { proven[id] = true })
	var left []quarantine.Part
	for _, part := range parts {
		if !proven[part.ID] {
			left = append(left, part)
		}
	}
	return left
}

// proves reports whether a part was in a good answer a moment ago.
func (s *soundParts) proves(now time.Time, hasher *quarantine.Hasher, part quarantine.Digest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.digestedAt) >= soundDigestSpan {
		s.digest(now, hasher)
	}
	at, known := s.digests[part]
	return known && now.Sub(at) < soundSpan
}

// digest makes the digests of all parts that are remembered.
func (s *soundParts) digest(now time.Time, hasher *quarantine.Hasher) {
	last := map[string]time.Time{}
	s.recent(now, func(at time.Time, id string) {
		if _, newer := last[id]; !newer {
			last[id] = at
		}
	})
	s.digests, s.digestedAt = make(map[quarantine.Digest]time.Time, len(last)), now
	for id, at := range last {
		s.digests[hasher.Part(id)] = at
	}
}
