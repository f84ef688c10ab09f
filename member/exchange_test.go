package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/wheatweir/wheatweir/member"
)

// detectorWithMembers returns a detector with count known members, of which some have restarted
// since.
func detectorWithMembers(name string, count, restarted int) *member.Detector {
	self := member.Member{Name: name, Zone: "z", PeerAddress: name, Incarnation: 1}
	detector := member.NewDetector(self, member.DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	for i := range count {
		known := member.Member{Name: fmt.Sprint("d", i), Zone: "z", PeerAddress: fmt.Sprint("d", i), CallerAddress: "10.0.0.1:80", Incarnation: 1}
		if i < restarted {
			known.Incarnation = 2
		}
		detector.Receive(time.Unix(1000, 0), member.Message{Kind: member.Rumor, Sender: known, Complete: true})
	}
	return detector
}

// encodedSize returns the size of a message in bytes as it is sent.
func encodedSize(t *testing.T, message member.Message) int {
	t.Helper()
	body, err := msgpack.Marshal(&message)
	if err != nil {
		t.Fatal(err)
	}
	return len(body)
}

// TestDaemonsThatDifferExchangeTheDifference has a daemon ping another one that has recorded some
// more restarts. It guards against answers with the full state. In a fleet of 1,000 those are 90
// kB/s for each daemon while some members join and leave.
func TestDaemonsThatDifferExchangeTheDifference(t *testing.T) {
	const members, restarted, maxBytes = 1000, 10, 12000
	a, b := detectorWithMembers("a", members, 0), detectorWithMembers("b", members, restarted)
	now := time.Unix(1100, 0)
	// Both have sent each other the full state when they joined.
	for _, pair := range [][2]*member.Detector{{a, b}, {b, a}} {
		pair[1].Receive(now, member.Message{Kind: member.Ping, Sender: pair[0].Self()})
	}
	now = now.Add(time.Minute)
	sent, total := []member.Packet{b.PingFor("a")}, 0
	for round := 0; len(sent) > 0 && round < 6; round++ {
		receiver := a
		if round%2 == 1 {
			receiver = b
		}
		var answers []member.Packet
		for _, packet := range sent {
			total += encodedSize(t, packet.Message)
			answers = append(answers, receiver.Receive(now, packet.Message)...)
		}
		sent = answers
	}
	for i := range restarted {
		if known, _ := a.Lookup(fmt.Sprint("d", i)); known.Incarnation != 2 {
			t.Errorf("d%d has the incarnation %d, want 2", i, known.Incarnation)
		}
	}
	if total > maxBytes {
		t.Errorf("exchange took %d bytes, want at most %d", total, maxBytes)
	}
}

// BenchmarkNewsAfterACommonStart measures message handling while updates about all members of a
// large group are queued.
func BenchmarkNewsAfterACommonStart(b *testing.B) {
	detector := detectorWithMembers("a", 1000, 0)
	now := time.Unix(1100, 0)
	sender, _ := detector.Lookup("d1")
	for b.Loop() {
		detector.Receive(now, member.Message{Kind: member.Ping, Sender: sender})
	}
}
