package simwire

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"yokeroute/gather"
)

const helloTemplate = `{"cmd":"Hello","gathererId":%,"initSeed":5,"info":{"balancers":2,"tick":5000,"newKey":[1],` +
	`"classes":[{"name":"c","effect":"pure","goalTime":1000000,"hardLimit":3000000,"lateValue":0.1}],` +
	`"domain":{"cells":1,"inARow":1},"limits":{"attemptsCap":3,"cancel":true}}}`

const acceptTemplate = `{"cmd":"Accept","gathererId":%,"ref":900719925474099,"cls":"c","query":1,"clientGroup":0,"shard":-1,` +
	`"amount":1,"giveUpAt":3000000}
{"cmd":"Accept","gathererId":%,"ref":8,"cls":"c","query":1,"shard":0,"amount":1,"giveUpAt":3000000}`

// defineList returns a message that defines an endpoint list of one server.
func defineList(number, server string) string {
	return `{"cmd":"DefineList","sheet":` + number + `,"members":[{"setNo":0,"server":` + server +
		`,"condition":"Running","rackZone":"z"}]}`
}

// endpointChange returns an event that gives an instance endpoint list 0.
func endpointChange(instance string) string {
	return `{"cmd":"RosterChange","gathererId":` + instance + `,"form":"C","sheet":0,"index":1}`
}

// batchLines returns a batch of messages with its framing.
func batchLines(lines ...string) string {
	return `{"cmd":"BeginBatch","now":1000,"batch":3}` + "\n" + strings.Join(lines, "\n") + "\n" +
		`{"cmd":"YourTurn"}` + "\n"
}

// forInstance returns template with each % replaced by the instance's number.
func forInstance(instance, template string) string {
	return strings.ReplaceAll(template, "%", instance)
}

func helloEvent(instance string) string { return forInstance(instance, helloTemplate) }

func acceptEvents(instance string) string { return forInstance(instance, acceptTemplate) }

// startInstance returns the messages that start an instance and give it endpoint list 0, with one server.
func startInstance(instance, server string) string {
	return strings.Join([]string{helloEvent(instance), defineList("0", server), endpointChange(instance)}, "\n")
}

const (
	closedAttemptMessage = `{"cmd":"ClosedAttempt","gathererId":3,"ref":8,"server":77,"waitTime":5,"verdict":"pass","healthInfo":{"odd":1}}`
	killMessage          = `{"cmd":"Kill","gathererId":3}`
	okReply              = `{"cmd":"Ok","batch":3}` + "\n"

	firstReply = `{"cmd":"PassOn","gathererId":3,"ref":8,"server":77,"cap":2999000}` + "\n" +
		`{"cmd":"Schedule","gathererId":3,"sleepFor":10000,"ctx":"round"}` + "\n" + okReply
	secondReply = `{"cmd":"SettleQuery","gathererId":3,"ref":900719925474099,"complete":true}` + "\n" + okReply
)

// TestServeRepliesToBatches checks the replies to, or errors for, short inputs. In a wanted reply, * matches any text.
func TestServeRepliesToBatches(t *testing.T) {
	for _, c := range []struct {
		name, in, want, err string
	}{
		{"empty batch", batchLines(), okReply, ""},
		{"query and answer",
			batchLines(startInstance("3", "77"), acceptEvents("3")) + batchLines(closedAttemptMessage),
			firstReply + secondReply, ""},
		{"list number redefined in a batch: events use the list defined before them",
			batchLines(startInstance("3", "77"), startInstance("4", "78"), acceptEvents("3"), acceptEvents("4")),
			`*,"server":77,*,"server":78,*`, ""},
		{"restart within a batch drops earlier events",
			batchLines(startInstance("3", "77"), acceptEvents("3"), killMessage, helloEvent("3"), endpointChange("3")),
			okReply, ""},
		{"malformed message", batchLines(`{"cmd":`), "", "line 2: malformed"},
		{"unknown command",
			batchLines(helloEvent("3"), `{"cmd":"Sing","gathererId":3}`), "", "line 3: Sing: unknown message"},
		{"unknown verdict",
			batchLines(helloEvent("3"), strings.Replace(closedAttemptMessage, "pass", "maybe", 1)), "", `verdict "maybe"`},
		{"event outside a batch", killMessage + "\n", "", "line 1: Kill outside a batch"},
		{"input ends inside a batch", `{"cmd":"BeginBatch","now":1000,"batch":3}` + "\n", "", "input ends inside batch 3"},
		{"event for an instance that is not running", batchLines(acceptEvents("3")), "", "instance 3 is not running"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Serve(strings.NewReader(c.in), &out)
			if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("error %v, want %q", err, c.err)
			}
			got := out.String()
			for _, part := range strings.Split(c.want, "*") {
				_, remaining, found := strings.Cut(got, part)
				if !found {
					t.Fatalf("reply %s, want %s", out.String(), c.want)
				}
				got = remaining
			}
			if !strings.Contains(c.want, "*") && got != "" {
				t.Errorf("reply continues after the wanted text: %s", got)
			}
		})
	}
}

type panickingModule struct{}

func (panickingModule) Round(*gather.Round, gather.Writer) { panic(`a "cause"`) }

func (panickingModule) RetryBudgetLeft() float64 { return 0 }

// TestModulePanicIsReportedToSimulator guards against a module panic that ends the process without a report. The reply
// must contain the cause and be complete.
func TestModulePanicIsReportedToSimulator(t *testing.T) {
	var out bytes.Buffer
	buffered := bufio.NewWriter(&out)
	in := &instance{module: panickingModule{}, writer: roundWriter{out: buffered, instance: 3}, hasEvents: true}
	s := &session{out: buffered, instances: map[int64]*instance{3: in}, order: []int64{3}, batchOpen: true, batch: 3}
	if err := s.reply(); err != nil {
		t.Fatal(err)
	}
	if got, want := out.String(), `{"cmd":"GiveIn","gathererId":3,"line":"a \"cause\""}`+"\n"+okReply; got != want {
		t.Errorf("reply %s, want %s", got, want)
	}
}
