package simwire

import (
	"encoding/json"

	"yokeroute/gather"
)

// Commands of the messages that the simulator sends.
const (
	cmdBeginBatch      = "BeginBatch"
	cmdEndBatch        = "YourTurn"
	cmdDefineList      = "DefineList"
	cmdHello           = "Hello"
	cmdKill            = "Kill"
	cmdEndpointChange  = "RosterChange"
	cmdQuery           = "Accept" // a query, or a shard request
	cmdStreamStarted   = "Started"
	cmdResult          = "ClosedAttempt"
	cmdAbandoned       = "CancelledByClient"
	cmdTimer           = "DeadlineHit"
	cmdHealthCheckDone = "Sampled"
	cmdPeer            = "Peer"
)

// Commands of the messages that an instance writes, and of the one that ends a reply.
const (
	cmdSend        = "PassOn"
	cmdCancel      = "UndoSend"
	cmdAnswer      = "SettleQuery"
	cmdReject      = "PushBack"
	cmdFail        = "EndFailed"
	cmdWake        = "Schedule"
	cmdSubscribe   = "Follow"
	cmdCheckHealth = "Inspect"
	cmdPanicked    = "GiveIn"
	cmdReplyEnd    = "Ok"
)

// Forms of an endpoint change.
const (
	formDelta  = "D"
	formFull   = "F"
	formCached = "C" // a full list that may be out of date
	formFailed = "X"
)

const (
	verdictSucceeded = "pass"
	timerContext     = "round" // context sent with each timer, not interpreted here
)

// message holds the fields of all messages that the simulator sends. Times are in microseconds.
type message struct {
	Command  string          `json:"cmd"`
	Now      *float64        `json:"now"`
	Batch    *int64          `json:"batch"`
	Instance *int64          `json:"gathererId"`
	Seed     uint64          `json:"initSeed"`
	Settings json.RawMessage `json:"info"`

	ListNumber *int     `json:"sheet"`
	Members    []member `json:"members"`
	Form       string   `json:"form"`

	ID       *uint64         `json:"ref"` // ID of a query or shard request
	Class    string          `json:"cls"`
	Number   *uint64         `json:"query"`       // shared by a query and its shard requests
	Tenant   json.RawMessage `json:"clientGroup"` // a name, or the number 0 for no tenant
	Shard    *int            `json:"shard"`       // shard number, below 0 for a query
	Cost     float64         `json:"hint"`
	Write    bool            `json:"update"`
	Weight   float64         `json:"amount"`
	Key      string          `json:"pathKey"`
	Deadline float64         `json:"giveUpAt"`
	Retry    bool            `json:"retry"`

	Server  *uint32    `json:"server"`
	Elapsed float64    `json:"waitTime"`
	Verdict string     `json:"verdict"`
	Attempt int        `json:"sendNo"`
	Closed  bool       `json:"closed"`
	Report  loadReport `json:"healthInfo"`
}

// loadReport holds those values of a load report that the module uses. A value is nil if the report lacks it.
type loadReport struct {
	QueueLength *float64 `json:"backlog"`
	LatencyMS   *float64 `json:"recent_ms"`
}

// member is an entry of an endpoint list.
type member struct {
	ReplicaSet int     `json:"setNo"`
	Size       float64 `json:"scale"`
	Zone       string  `json:"rackZone"`
	Condition  string  `json:"condition"`
	Server     *uint32 `json:"server"`
	Kind       string  `json:"familyType"`
	StartedAt  float64 `json:"startedAt"`
}

// outcomes maps the verdicts of attempts to outcomes.
var outcomes = map[string]gather.Outcome{
	verdictSucceeded: gather.Succeeded,
	"fault":          gather.Failed,
	"no_room":        gather.Rejected,
	"too_slow":       gather.TimedOut,
	"no_route":       gather.ConnectFailed,
	"cut":            gather.ConnectionReset,
	"undone":         gather.Cancelled,
	"stale_send":     gather.NotSent,
}

// states maps the conditions of endpoints to states.
var states = map[string]gather.State{
	"Running":  gather.Running,
	"Stopping": gather.Draining,
	"Deleted":  gather.Removed,
}

func milliseconds(microseconds float64) float64 { return microseconds / 1000 }
