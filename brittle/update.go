package brittle

import "time"

// Update is what one daemon tells others of services whose instances say that they are brittle, or no longer.
type Update struct {
	Words []Word `msgpack:"w,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (u *Update) Empty() bool { return len(u.Words) == 0 }

// Word is what the newest answer of a service said.
type Word struct {
	Service string `msgpack:"s"`
	// Named says that the service is brittle, and Refusals how many refusals a second an instance bears.
	Named    bool    `msgpack:"n,omitempty"`
	Refusals float64 `msgpack:"r,omitempty"`
	// Age is how long ago the request was sent whose answer said so.
	Age time.Duration `msgpack:"a"`
}

// Newest returns what others may lack.
func (b *Book) Newest(now time.Time) Update {
	var update Update
	for name, known := range b.services {
		update.Words = append(update.Words, Word{Service: name, Named: true, Refusals: known.refusals, Age: now.Sub(known.heardAt)})
	}
	return update
}

// Learn takes in what another daemon was told. Words that are as old as what is known here say nothing: they go round.
func (b *Book) Learn(now time.Time, word Word) Change {
	saidAt := now.Add(-word.Age)
	known := b.services[word.Service]
	switch {
	case word.Age < 0 || word.Age > silentSpan || word.Refusals < 0:
		return Nothing
	case !word.Named:
		return b.Hear(now, word.Service, saidAt, false, 0)
	case !saidAt.After(b.endedAt[word.Service]):
		return Nothing
	case known == nil:
		b.services[word.Service] = &service{refusals: word.Refusals, learnedAt: now, heardAt: saidAt, paidAt: map[string]time.Time{}}
		return Begins
	case !saidAt.After(known.heardAt):
		return Nothing
	}
	known.heardAt = saidAt
	if known.refusals == word.Refusals {
		return Nothing
	}
	known.refusals = word.Refusals
	return Begins
}
