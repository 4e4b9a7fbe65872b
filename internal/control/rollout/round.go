package rollout

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/storage/runfolder"
	"yokeroute/logic/rollout"
)

// Operators' commands for SendCommand.
const (
	CommandStop   = "stop"
	CommandBack   = "back"
	CommandResume = "resume"
)

// Run executes rounds until the rollout has ended or ctx is done. It returns after the steps in progress have ended.
func (c *Controller) Run(ctx context.Context) (*Status, error) {
	defer c.journal.Close()
	defer c.reports.close()
	defer c.steps.Wait()
	c.repeatUnfinished(ctx)
	tick := time.NewTicker(c.plan.Interval)
	defer tick.Stop()
	for {
		s, err := c.runRound(ctx)
		if err != nil {
			return s, err
		}
		if s.Phase.Final() {
			c.steps.Wait()
			c.reports.forEachGatherer(func(g int) { c.reports.release(ctx, g, c.runID, c.fencingToken) })
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-tick.C:
		}
	}
}

// repeatUnfinished repeats the steps that an earlier controller started and whose end is not recorded.
func (c *Controller) repeatUnfinished(ctx context.Context) {
	for _, record := range c.unfinished {
		g := c.gathererIndex(record.Gatherer)
		if g < 0 {
			continue // can't happen in a journal of the same plan
		}
		c.stepLog(record.Gatherer, record.Target).Info("rollout: unfinished step repeated")
		c.startStep(ctx, g, record.Target)
	}
}

func (c *Controller) stepLog(gatherer string, to rollout.Variant) *logrus.Entry {
	return c.log.WithFields(logrus.Fields{"gatherer": gatherer, "to": to.String()})
}

// runRound observes all gatherers, lets the strategy decide, and starts the steps of the decision. The status is nil
// if an error occurs before the decision.
func (c *Controller) runRound(ctx context.Context) (*Status, error) {
	if err := c.journal.CheckSuperseded(); err != nil {
		return nil, err
	}
	if err := c.reports.claimAll(ctx, c.runID, c.fencingToken); err != nil {
		return nil, err
	}
	o := c.observe(ctx)
	if err := c.applyCommand(); err != nil {
		return nil, err
	}
	d := c.strategy.Decide(o)
	if err := c.recordPosition(d); err != nil {
		return nil, err
	}
	c.logDecision(d)
	// The status is published before the steps start, so that it shows the intended steps if the controller is killed.
	s := c.buildStatus(&o, d)
	if err := c.publish(s); err != nil {
		return s, err
	}
	for _, step := range d.Steps {
		err := c.appendRecord(rollout.Record{
			Kind:     rollout.StepStarted,
			Gatherer: c.plan.Gatherers[step.Gatherer].Name,
			Target:   step.To,
		})
		if err != nil {
			return s, err
		}
		c.startStep(ctx, step.Gatherer, step.To)
	}
	return s, nil
}

// observe fetches all reports and adds the states of the steps.
func (c *Controller) observe(ctx context.Context) rollout.Observation {
	o := c.reports.observe(ctx, c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	for g := range o.Gatherers {
		o.Gatherers[g].Step = c.stepStates[g]
		if c.stepFaults[g] != "" {
			o.Gatherers[g].Fault = c.stepFaults[g]
		}
	}
	return o
}

// recordPosition records a change of phase or stage.
func (c *Controller) recordPosition(d rollout.Decision) error {
	position := c.strategy.Position()
	if position.Phase == c.position.Phase && position.Stage == c.position.Stage {
		return nil
	}
	c.position = position
	return c.appendRecord(rollout.Record{Kind: rollout.PositionChanged, Position: &position, Message: d.Reason})
}

// logDecision logs a decision if it differs from that of the previous round.
func (c *Controller) logDecision(d rollout.Decision) {
	summary := fmt.Sprintf("%s: %s", d.Verdict, d.Reason)
	if summary == c.lastSummary {
		return
	}
	c.lastSummary = summary
	c.log.WithFields(logrus.Fields{
		"phase": string(d.Phase), "verdict": d.Verdict.String(), "reason": d.Reason,
	}).Info("rollout: decision changed")
}

// startStep makes a step in a new goroutine. Run waits for its end; canceling ctx does not cancel the step.
func (c *Controller) startStep(ctx context.Context, g int, to rollout.Variant) {
	c.setStep(g, rollout.Running, "")
	name := c.plan.Gatherers[g].Name
	c.steps.Go(func() {
		result, fault := rollout.Succeeded, ""
		if err := c.runStep(context.WithoutCancel(ctx), g, to); err != nil {
			result, fault = rollout.Failed, err.Error()
			c.stepLog(name, to).WithError(err).Warn("rollout: step failed")
		}
		err := c.appendRecord(rollout.Record{Kind: rollout.StepEnded, Gatherer: name, Target: to, Message: fault})
		if err != nil {
			c.stepLog(name, to).WithError(err).Error("rollout: step's end not recorded; the step may be repeated")
		}
		c.setStep(g, result, fault)
	})
}

func (c *Controller) setStep(g int, state rollout.StepState, fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepStates[g] = state
	c.stepFaults[g] = fault
}

// runStep makes a step unless another controller has taken the rollout over. Only a rejected claim prevents the step:
// a gatherer that can't be reached is not able to grant one.
func (c *Controller) runStep(ctx context.Context, g int, to rollout.Variant) error {
	if err := c.journal.CheckSuperseded(); err != nil {
		return err
	}
	if err := c.reports.claim(ctx, g, c.runID, c.fencingToken); claimRejected(err) {
		return err
	}
	return c.stepper.step(ctx, g, to, fence{token: c.fencingToken, check: c.journal.CheckSuperseded})
}

// applyCommand records the operator's command and passes it to the strategy, if there is a new one.
func (c *Controller) applyCommand() error {
	timestamped, err := c.journal.Command()
	if err != nil || timestamped == c.lastCommand {
		return err
	}
	c.lastCommand = timestamped
	if err := c.appendRecord(rollout.Record{Kind: rollout.CommandApplied, Command: timestamped}); err != nil {
		return err
	}
	const reason = "by the operator's word"
	switch command, _, _ := strings.Cut(timestamped, " "); command {
	case CommandStop:
		c.strategy.Command(rollout.Stop, reason)
	case CommandBack:
		c.strategy.Command(rollout.RollBack, reason)
	case CommandResume:
		c.strategy.Command(rollout.Proceed, "")
	}
	return nil
}

// SendCommand stores an operator's command in a rollout's folder, for the current controller or the next one.
func SendCommand(folder, command string) error {
	return runfolder.SendCommand(folder, command, time.Now().UnixNano())
}
