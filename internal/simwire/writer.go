package simwire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
)

// roundWriter is a gather.Writer that writes each decision of one instance's rounds as a message. It assembles the JSON
// itself, because that takes little of the CPU time that the instance is charged for.
type roundWriter struct {
	out      *bufio.Writer
	instance int64
}

// write writes a message with the given fields: alternately a comma with the quoted name and colon, and the value.
func (w *roundWriter) write(command string, fields ...string) {
	writeTexts(w.out, `{"cmd":"`, command, `","gathererId":`, strconv.FormatInt(w.instance, 10))
	writeTexts(w.out, fields...)
	writeTexts(w.out, "}\n")
}

// writeBatchEnd writes the message that ends the reply to a batch.
func writeBatchEnd(out *bufio.Writer, batch int64) {
	writeTexts(out, `{"cmd":"`, cmdReplyEnd, `","batch":`, strconv.FormatInt(batch, 10), "}\n")
}

func writeTexts(out *bufio.Writer, texts ...string) {
	for _, text := range texts {
		_, _ = out.WriteString(text) // the writer keeps an error, and Flush returns it
	}
}

func microseconds(milliseconds float64) string {
	return strconv.FormatInt(int64(math.Round(milliseconds*1000)), 10)
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }

func (w *roundWriter) Send(request uint64, server uint32, timeout float64) {
	w.write(cmdSend, `,"ref":`, decimal(request), `,"server":`, decimal(uint64(server)), `,"cap":`, microseconds(timeout))
}

func (w *roundWriter) Cancel(request uint64, attempt int) {
	w.write(cmdCancel, `,"ref":`, decimal(request), `,"sendNo":`, strconv.Itoa(attempt))
}

func (w *roundWriter) Answer(query uint64, complete bool) {
	w.write(cmdAnswer, `,"ref":`, decimal(query), `,"complete":`, strconv.FormatBool(complete))
}

func (w *roundWriter) Reject(query uint64, retryAfter float64) {
	w.write(cmdReject, `,"ref":`, decimal(query), `,"pause":`, microseconds(retryAfter))
}

func (w *roundWriter) Fail(query uint64) { w.write(cmdFail, `,"ref":`, decimal(query)) }

func (w *roundWriter) Wake(after float64) {
	w.write(cmdWake, `,"sleepFor":`, microseconds(after), `,"ctx":"`+timerContext+`"`)
}

func (w *roundWriter) Subscribe() { w.write(cmdSubscribe, `,"complete":true`) }

func (w *roundWriter) CheckHealth(server uint32) {
	w.write(cmdCheckHealth, `,"server":`, decimal(uint64(server)))
}

// panicked reports a panic of the module, with its cause, to the simulator.
func (w *roundWriter) panicked(cause any) {
	text, _ := json.Marshal(fmt.Sprint(cause)) // a string always marshals
	w.write(cmdPanicked, `,"line":`, string(text))
}
