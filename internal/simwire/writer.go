package simwire

import (
	"encoding/json"
	"math"
	"strconv"
)

// The methods below are gather.Writer: each writes one message of the instance that is speaking.

func (h *host) say(words ...string) {
	for _, w := range words {
		h.out.WriteString(w) // an error stays with the buffer and comes out of its Flush
	}
}

func (h *host) act(cmd string, fields ...string) {
	h.say(`{"cmd":"`, cmd, `","gathererId":`, strconv.FormatInt(h.speaking, 10))
	h.say(fields...)
	h.say("}\n")
}

func (h *host) text(cmd, line string) {
	quoted, _ := json.Marshal(line) // a string always marshals
	h.act(cmd, `,"line":`, string(quoted))
}

func us(ms float64) string { return strconv.FormatInt(int64(math.Round(ms*1000)), 10) }

func num(n uint64) string { return strconv.FormatUint(n, 10) }

func (h *host) Send(part uint64, server uint32, timeout float64) {
	h.act("PassOn", `,"ref":`, num(part), `,"server":`, num(uint64(server)), `,"cap":`, us(timeout))
}

func (h *host) Cancel(part uint64, call int) {
	h.act("UndoSend", `,"ref":`, num(part), `,"sendNo":`, strconv.Itoa(call))
}

func (h *host) Answer(lookup uint64, whole bool) {
	h.act("SettleQuery", `,"ref":`, num(lookup), `,"complete":`, strconv.FormatBool(whole))
}

func (h *host) Reject(lookup uint64, comeBack float64) {
	h.act("PushBack", `,"ref":`, num(lookup), `,"pause":`, us(comeBack))
}

func (h *host) Fail(lookup uint64) { h.act("EndFailed", `,"ref":`, num(lookup)) }

func (h *host) Wake(after float64) { h.act("Schedule", `,"sleepFor":`, us(after), `,"ctx":"round"`) }

func (h *host) Subscribe() { h.act("Follow", `,"complete":true`) }

func (h *host) CheckHealth(server uint32) { h.act("Inspect", `,"server":`, num(uint64(server))) }
