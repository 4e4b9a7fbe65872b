package policy

// Kind identifies what an entry of a policy restricts. Its values are those of the protocol.
type Kind string

// The kinds of entries. A gatherer refuses a change that contains a kind it does not know, and the change is
// then abandoned.
const (
	// NonIdempotent makes queries of a class non-idempotent: a shard request that may have been executed is
	// not sent again.
	NonIdempotent Kind = "once-only"
	// NoHedging forbids two requests for one shard at the same time, for a class or for all.
	NoHedging Kind = "no-copies"
	// MinShare is the minimum share of a class, below which no answer is given.
	MinShare Kind = "least"
	// RetryShare limits retries and hedged requests to a share of the admitted queries and shard requests.
	RetryShare Kind = "budget-share"
	// RetryAllowance is the number of retries and hedged requests that are permitted beyond RetryShare.
	RetryAllowance Kind = "budget-free"
	// WarmUpShare is the share of their usual traffic that servers receive while they are warming up.
	WarmUpShare Kind = "cold"
	// Closed stops new requests to a zone (subject ZONE/) or to a host (subject ZONE/HOST).
	Closed Kind = "closed"
	// HostWeight is the share of its usual traffic that a host receives.
	HostWeight Kind = "turns"
)

// Kinds returns the kinds that this version knows, ordered by name.
func Kinds() []Kind {
	return []Kind{
		Closed, WarmUpShare, RetryAllowance, MinShare,
		NoHedging, NonIdempotent, RetryShare, HostWeight,
	}
}

// subjectKind identifies what the subject of an entry names.
type subjectKind string

const (
	noSubject    subjectKind = ""
	classSubject subjectKind = "index"
	placeSubject subjectKind = "place" // a zone, or a host in it
	hostSubject  subjectKind = "host"
)

// kindTraits holds the properties of a kind of entry.
type kindTraits struct {
	subject         subjectKind
	flag            bool // entries have no value
	higherIsTighter bool // the higher of two values is tighter; otherwise the lower one is
	advisory        bool // no rule depends on it, so a fallback policy need not have it
	maxValue        float64
	tightenText     string // describes a change that tightens the entry
	loosenText      string // describes a change that loosens the entry
	removeText      string // describes a change that removes the entry
}

const maxRetryAllowance = 1e6

var traits = map[Kind]kindTraits{
	NonIdempotent: {
		subject:     classSubject,
		flag:        true,
		tightenText: "is once-only now",
		removeText:  "is as the platform has it again",
	},
	NoHedging: {
		subject:     classSubject,
		flag:        true,
		tightenText: "second copies no longer allowed",
		removeText:  "second copies allowed again as the platform has it",
	},
	MinShare: {
		subject:         classSubject,
		higherIsTighter: true,
		maxValue:        1,
		tightenText:     "least share raised",
		loosenText:      "least share lowered",
		removeText:      "least share is the platform's again",
	},
	RetryShare: {
		maxValue:    1,
		tightenText: "budget of further calls lowered",
		loosenText:  "budget of further calls raised",
		removeText:  "budget of further calls is the platform's again",
	},
	RetryAllowance: {
		maxValue:    maxRetryAllowance,
		tightenText: "free further calls lowered",
		loosenText:  "free further calls raised",
		removeText:  "free further calls are the platform's again",
	},
	WarmUpShare: {
		maxValue:    1,
		tightenText: "cold servers are sent less",
		loosenText:  "cold servers are sent more",
		removeText:  "cold servers are sent what the rule allows again",
	},
	Closed: {
		subject:     placeSubject,
		flag:        true,
		tightenText: "closed",
		removeText:  "open again",
	},
	HostWeight: {
		subject:     hostSubject,
		advisory:    true,
		maxValue:    1,
		tightenText: "gets fewer turns",
		loosenText:  "gets more turns",
		removeText:  "gets its plain turns again",
	},
}
