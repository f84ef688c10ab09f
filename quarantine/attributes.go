package quarantine

// Kind is the attribute of a request that a digest identifies.
type Kind uint8

const (
	// KindContent is the whole content, which is the same when a client resends the request.
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
	// ID is the client's name for the part. It is not sent to other daemons.
	ID     string
	Digest Digest
}

// Attributes are the properties of a request that decide whether it is held.
type Attributes struct {
	Content Digest
	// Parts are the shared parts of its prompt.
	Parts []Part
}

// eachDigest calls do for each digest with its kind.
func (a *Attributes) eachDigest(do func(Kind, Digest)) {
	do(KindContent, a.Content)
	for _, part := range a.Parts {
		do(KindPart, part.Digest)
	}
}

// hasPart reports whether a part is among the shared ones.
func (a *Attributes) hasPart(part Digest) bool {
	for _, shared := range a.Parts {
		if shared.Digest == part {
			return true
		}
	}
	return false
}
