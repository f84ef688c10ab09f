package quarantine

// Kind is what of a request a digest stands for.
type Kind uint8

const (
	// KindContent is the whole content: what a client sends again.
	KindContent Kind = iota
	// KindPart is a part of the prompt that other requests may share.
	KindPart
)

// String returns the name used in logs.
func (k Kind) String() string {
	if k == KindPart {
		return "part"
	}
	return "content"
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	// ID is the client's name for the part. It is not told to other daemons.
	ID     string
	Digest Digest
}

// Attributes are what a request is judged by.
type Attributes struct {
	Content Digest
	// Parts are the shared parts of its prompt.
	Parts []Part
}

// digests returns all digests with their kinds.
func (a *Attributes) digests(do func(Kind, Digest)) {
	do(KindContent, a.Content)
	for _, part := range a.Parts {
		do(KindPart, part.Digest)
	}
}

// has reports whether a part is among the shared ones.
func (a *Attributes) has(part Digest) bool {
	for _, known := range a.Parts {
		if known.Digest == part {
			return true
		}
	}
	return false
}
