package simwire

import (
	"bytes"
	"strings"
	"testing"
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

// TestServe checks single batches; in the reply wanted, * stands for any text.
func TestServe(t *testing.T) {
	for _, c := range []struct {
		name, in, want, err string
	}{
		{"an empty batch", batch(), `{"cmd":"Ok","batch":3}` + "\n", ""},
		{"a query and its answer",
			batch(forInstance("3", helloMessage), defineList("0", "77"), endpointChange("3"), forInstance("3", acceptMessages)) +
				batch(`{"cmd":"ClosedAttempt","gathererId":3,"ref":8,"server":77,"waitTime":5,"verdict":"pass","healthInfo":{"odd":1}}`),
			`{"cmd":"PassOn","gathererId":3,"ref":8,"server":77,"cap":2999000}` + "\n" +
				`{"cmd":"Schedule","gathererId":3,"sleepFor":10000,"ctx":"round"}` + "\n" + `{"cmd":"Ok","batch":3}` + "\n" +
				`{"cmd":"SettleQuery","gathererId":3,"ref":900719925474099,"complete":true}` + "\n" +
				`{"cmd":"Ok","batch":3}` + "\n", ""},
		{"a list number used again in the batch goes by the order of events",
			batch(forInstance("3", helloMessage), defineList("0", "77"), endpointChange("3"), forInstance("4", helloMessage), defineList("0", "78"), endpointChange("4"),
				forInstance("3", acceptMessages), forInstance("4", acceptMessages)), "*,\"server\":77,*,\"server\":78,*", ""},
		{"a restart in one batch forgets what came before",
			batch(forInstance("3", helloMessage), defineList("0", "77"), endpointChange("3"), forInstance("3", acceptMessages), `{"cmd":"Kill","gathererId":3}`,
				forInstance("3", helloMessage), endpointChange("3")), `{"cmd":"Ok","batch":3}` + "\n", ""},
		{"malformed", batch(`{"cmd":`), "", "line 2: malformed"},
		{"unknown", batch(forInstance("3", helloMessage), `{"cmd":"Sing","gathererId":3}`), "", "line 3: Sing: unknown message"},
		{"unknown verdict", batch(forInstance("3", helloMessage),
			`{"cmd":"ClosedAttempt","gathererId":3,"ref":8,"server":77,"verdict":"maybe"}`), "", `verdict "maybe"`},
		{"out of frame", `{"cmd":"Kill","gathererId":3}` + "\n", "", "line 1: Kill outside a batch"},
		{"a batch cut off", `{"cmd":"BeginBatch","now":1000,"batch":3}` + "\n", "", "input ends inside batch 3"},
		{"an instance that is not there", batch(forInstance("3", acceptMessages)), "", "instance 3 is not running"},
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
