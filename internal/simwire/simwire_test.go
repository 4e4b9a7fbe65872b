package simwire

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"yokeroute/gather"
)

const helloMessage = `{"cmd":"Hello","gathererId":%,"initSeed":5,"info":{"balancers":2,"tick":5000,"newKey":[1],` +
	`"classes":[{"name":"c","effect":"pure","goalTime":1000000,"hardLimit":3000000,"lateValue":0.1}],` +
	`"domain":{"cells":1,"inARow":1},"limits":{"attemptsCap":3,"cancel":true}}}`

const acceptMessages = `{"cmd":"Accept","gathererId":%,"ref":900719925474099,"cls":"c","query":1,"clientGroup":0,"shard":-1,` +
	`"amount":1,"giveUpAt":3000000}
{"cmd":"Accept","gathererId":%,"ref":8,"cls":"c","query":1,"shard":0,"amount":1,"giveUpAt":3000000}`

// defineList defines an endpoint list of one server.
func defineList(number, server string) string {
	return `{"cmd":"DefineList","sheet":` + number + `,"members":[{"setNo":0,"server":` + server +
		`,"condition":"Running","rackZone":"z"}]}`
}

// endpointChange hands list 0 to an instance.
func endpointChange(instance string) string {
	return `{"cmd":"RosterChange","gathererId":` + instance + `,"form":"C","sheet":0,"index":1}`
}

func batch(lines ...string) string {
	return `{"cmd":"BeginBatch","now":1000,"batch":3}` + "\n" + strings.Join(lines, "\n") + "\n" + `{"cmd":"YourTurn"}` + "\n"
}

// forInstance fills an instance in.
func forInstance(id, text string) string { return strings.ReplaceAll(text, "%", id) }

func hello(instance string) string { return forInstance(instance, helloMessage) }

func accept(instance string) string { return forInstance(instance, acceptMessages) }

// start starts an instance with a list of one server, which takes list number 0.
func start(instance, server string) string {
	return strings.Join([]string{hello(instance), defineList("0", server), endpointChange(instance)}, "\n")
}

const (
	closedAttempt = `{"cmd":"ClosedAttempt","gathererId":3,"ref":8,"server":77,"waitTime":5,"verdict":"pass","healthInfo":{"odd":1}}`
	kill          = `{"cmd":"Kill","gathererId":3}`
	okReply       = `{"cmd":"Ok","batch":3}` + "\n"

	firstReply = `{"cmd":"PassOn","gathererId":3,"ref":8,"server":77,"cap":2999000}` + "\n" +
		`{"cmd":"Schedule","gathererId":3,"sleepFor":10000,"ctx":"round"}` + "\n" + okReply
	secondReply = `{"cmd":"SettleQuery","gathererId":3,"ref":900719925474099,"complete":true}` + "\n" + okReply
)

// TestServe checks single batches; in the reply wanted, * stands for any text.
func TestServe(t *testing.T) {
	for _, c := range []struct {
		name, in, want, err string
	}{
		{"an empty batch", batch(), okReply, ""},
		{"a query and its answer", batch(start("3", "77"), accept("3")) + batch(closedAttempt), firstReply + secondReply, ""},
		{"a list number used again in the batch goes by the order of events",
			batch(start("3", "77"), start("4", "78"), accept("3"), accept("4")), `*,"server":77,*,"server":78,*`, ""},
		{"a restart in one batch forgets what came before",
			batch(start("3", "77"), accept("3"), kill, hello("3"), endpointChange("3")), okReply, ""},
		{"malformed", batch(`{"cmd":`), "", "line 2: malformed"},
		{"unknown", batch(hello("3"), `{"cmd":"Sing","gathererId":3}`), "", "line 3: Sing: unknown message"},
		{"unknown verdict", batch(hello("3"), strings.Replace(closedAttempt, "pass", "maybe", 1)), "", `verdict "maybe"`},
		{"out of frame", kill + "\n", "", "line 1: Kill outside a batch"},
		{"a batch cut off", `{"cmd":"BeginBatch","now":1000,"batch":3}` + "\n", "", "input ends inside batch 3"},
		{"an instance that is not there", batch(accept("3")), "", "instance 3 is not running"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Serve(strings.NewReader(c.in), &out)
			if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("error %v, want %q", err, c.err)
			}
			got := out.String()
			for _, piece := range strings.Split(c.want, "*") {
				_, rest, found := strings.Cut(got, piece)
				if !found {
					t.Fatalf("written %s, want %s", out.String(), c.want)
				}
				got = rest
			}
			if !strings.Contains(c.want, "*") && got != "" {
				t.Errorf("written too much: %s", got)
			}
		})
	}
}

type panickingModule struct{}

func (panickingModule) Round(*gather.Round, gather.Writer) { panic(`a "cause"`) }

func (panickingModule) RetryBudgetLeft() float64 { return 0 }

// TestPanicIsReported: the simulator gets the cause, and the reply is complete.
func TestPanicIsReported(t *testing.T) {
	var out bytes.Buffer
	buffered := bufio.NewWriter(&out)
	in := &instance{module: panickingModule{}, writer: roundWriter{out: buffered, instance: 3}, hasEvents: true}
	h := &host{out: buffered, instances: map[int64]*instance{3: in}, order: []int64{3}, batchOpen: true, batch: 3}
	if err := h.reply(); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), `{"cmd":"GiveIn","gathererId":3,"line":"a \"cause\""}`+"\n"+okReply; got != want {
		t.Errorf("written %s, want %s", got, want)
	}
}
