package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/gateway"
	"github.com/wheatweir/wheatweir/quarantine"
)

func promptOf(ids ...string) []gateway.PromptPart {
	var prompt []gateway.PromptPart
	for _, id := range ids {
		prompt = append(prompt, gateway.PromptPart{ID: id, Tokens: 10})
	}
	return append(prompt, gateway.PromptPart{ID: "own", Tokens: 10})
}

// TestGoodAnswersSpeakForTheirParts covers what is taken for proof that a part is harmless: an answer that ended well
// some seconds ago at most, and never the last part of its prompt.
func TestGoodAnswersSpeakForTheirParts(t *testing.T) {
	hasher := quarantine.NewHasher("secret")
	part := func(id string) quarantine.Part { return quarantine.Part{ID: id, Digest: hasher.Part(id)} }
	now := time.Unix(1000, 0)
	sound := newSoundParts()
	sound.add(now, promptOf("first", "second"))
	parts := []quarantine.Part{part("first"), part("dead"), part("own")}
	left := sound.unproven(now.Add(soundSpan-time.Millisecond), parts)
	if len(left) != 2 || left[0].ID != "dead" || left[1].ID != "own" {
		t.Errorf("unproven: %v", left)
	}
	if !sound.proves(now, hasher, part("second").Digest) || sound.proves(now, hasher, part("dead").Digest) || sound.proves(now, hasher, part("own").Digest) {
		t.Error("the wrong parts are proved")
	}
	if left := sound.unproven(now.Add(soundSpan), parts); len(left) != len(parts) {
		t.Errorf("unproven after the span: %v", left)
	}
	if sound.proves(now.Add(soundSpan), hasher, part("first").Digest) {
		t.Error("proved after the span")
	}
	for number := range soundPrompts {
		sound.add(now, promptOf(fmt.Sprint(number)))
	}
	if left := sound.unproven(now, parts); len(left) != len(parts) {
		t.Errorf("unproven after as many others: %v", left)
	}
}

// TestGoodAnswerCostsNoAllocation guards what each request pays while nothing is suspected.
func TestGoodAnswerCostsNoAllocation(t *testing.T) {
	sound, prompt, now := newSoundParts(), promptOf("first", "second"), time.Unix(1000, 0)
	if count := testing.AllocsPerRun(1000, func() { sound.add(now, prompt) }); count != 0 {
		t.Errorf("%v allocations", count)
	}
}

func BenchmarkGoodAnswer(b *testing.B) {
	sound, prompt, now := newSoundParts(), promptOf("first", "second"), time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		sound.add(now, prompt)
	}
}

// BenchmarkProofOfAPart measures what news of a crash costs at a daemon that remembers as many prompts as it can.
func BenchmarkProofOfAPart(b *testing.B) {
	hasher, sound, now := quarantine.NewHasher("secret"), newSoundParts(), time.Unix(1000, 0)
	for number := range soundPrompts {
		sound.add(now, promptOf("first", fmt.Sprint("subject", number%200), fmt.Sprint("turn", number)))
	}
	for b.Loop() {
		sound.digestedAt = time.Time{}
		sound.proves(now, hasher, quarantine.Digest{})
	}
}
