package balance

// Load is the work in progress at one instance, and what daemons report of its failures.
type Load struct {
	// Each message between daemons contains many loads, so they are encoded without field names.
	//lint:ignore U1000 read by the msgpack encoder
	_msgpack struct{} `msgpack:",as_array"`
	// Requests is the number of requests in progress.
	Requests int
	// PromptTokens is the sum of the prompts of requests without a first token.
	PromptTokens int
	// Avoiding is the number of daemons that do not send requests to the instance at the moment,
	// because it failed or declined some.
	Avoiding int
	// Broken is the number of daemons with a recent connection that the instance ended without an
	// answer.
	Broken int
}

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.PromptTokens += other.PromptTokens
	l.Avoiding += other.Avoiding
	l.Broken += other.Broken
}

func (l *Load) subtract(other Load) {
	l.Requests -= other.Requests
	l.PromptTokens -= other.PromptTokens
	l.Avoiding -= other.Avoiding
	l.Broken -= other.Broken
}
