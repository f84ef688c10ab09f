package coordination

import (
	"github.com/wheatweir/wheatweir/quarantine"
)

// CrashNews tells of contents of requests that ran on servers that crashed.
type CrashNews struct {
	// Root is the daemon that found out, Boot its life and Sequence the number of the message in
	// that life. Without a root the message is for its receiver only.
	Root     string            `msgpack:"o,omitempty"`
	Boot     uint64            `msgpack:"b,omitempty"`
	Sequence uint64            `msgpack:"n,omitempty"`
	Update   quarantine.Update `msgpack:"u"`
}

// crashNewsState is what was told and heard of crashes.
type crashNewsState struct {
	boot     uint64
	sequence uint64
	// heard are the messages of each daemon that were passed on.
	heard map[string]*seenMessages
}

func newCrashNewsState(boot uint64) crashNewsState {
	return crashNewsState{boot: boot, heard: map[string]*seenMessages{}}
}

// TellCrashes tells all daemons what this one has found out.
func (n *Node) TellCrashes(update quarantine.Update) []Action {
	state := &n.crashNews
	state.sequence++
	n.passCrashes(&CrashNews{Root: n.self, Boot: state.boot, Sequence: state.sequence, Update: update})
	return n.take()
}

func (n *Node) passCrashes(news *CrashNews) {
	n.passBelow(news.Root, news.Sequence, Message{From: n.self, Crashes: news})
}

// takeCrashes takes in a message and passes it on, if it came for the first time: trees that differ
// for a moment then can't send it round for ever. Messages of one daemon take different trees by
// turns and may overtake each other.
func (n *Node) takeCrashes(news *CrashNews) {
	if news.Root == n.self {
		return
	}
	if news.Root != "" {
		seen := n.crashNews.heard[news.Root]
		if seen == nil || seen.boot != news.Boot {
			seen = &seenMessages{boot: news.Boot}
			n.crashNews.heard[news.Root] = seen
		}
		if !seen.first(news.Sequence) {
			return
		}
		n.passCrashes(news)
	}
	n.do(LearnCrashes{Update: news.Update})
}

// seenWindow is how far a message may be behind the newest one of its daemon and still be passed on.
const seenWindow = 64

// seenMessages are the messages of one life of a daemon that came: the newest, and a bit for each of
// the last ones before it.
type seenMessages struct {
	boot   uint64
	newest uint64
	before uint64
}

// first reports whether a message comes for the first time. One that is too far behind counts as seen.
func (s *seenMessages) first(sequence uint64) bool {
	if sequence > s.newest {
		ahead := sequence - s.newest
		s.before = s.before<<ahead | uint64(1)<<(ahead-1)
		s.newest = sequence
		return true
	}
	behind := s.newest - sequence
	if behind == 0 || behind > seenWindow || s.before&(1<<(behind-1)) != 0 {
		return false
	}
	s.before |= 1 << (behind - 1)
	return true
}
