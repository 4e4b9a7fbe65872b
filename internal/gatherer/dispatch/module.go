package dispatch

import (
	"math"
	"runtime/debug"

	"yokeroute/gather"
	"yokeroute/logic"
)

// ModuleFactory builds a decision module.
type ModuleFactory func(seed uint64, settings *gather.Settings) gather.Module

func newLogicModule(seed uint64, settings *gather.Settings) gather.Module {
	return logic.New(seed, settings)
}

// moduleHost holds the module and what a new one needs after a panic.
type moduleHost struct {
	gather.Module
	build   ModuleFactory
	seed    uint64
	weights [][]gather.Weight // in force
}

func newModuleHost(seed uint64, settings *gather.Settings, build ModuleFactory) moduleHost {
	return moduleHost{Module: build(seed, settings), build: build, seed: seed}
}

// restart replaces the module by a new one.
func (h *moduleHost) restart(settings *gather.Settings) {
	h.seed++
	h.Module = h.build(h.seed, settings)
}

// answerViews hands the module's view of the endpoints to those who wait for it.
func (h *moduleHost) answerViews(requests []chan<- []gather.EndpointView) {
	for _, request := range requests {
		if m, ok := h.Module.(interface{ View() []gather.EndpointView }); ok {
			request <- m.View()
		}
		close(request)
	}
}

// runModule runs the module. A panic of the module does not end the process: all queries that it held end as internal
// errors, and a new module goes on from the endpoint list, as after a restart.
func (p *Picker) runModule(in *gather.Round) {
	defer func() {
		if cause := recover(); cause != nil {
			log := p.log.WithField("panic", cause).WithField("stack", string(debug.Stack()))
			log.Error("decision module: panicked, restarting")
			p.restartModule()
		}
	}()
	p.module.Round(in, writer{p})
}

func (p *Picker) restartModule() {
	p.actions = Actions{}
	for _, query := range p.queries.byID {
		p.finish(query, Result{Kind: InternalError})
		for _, attempts := range query.attempts {
			for _, a := range attempts {
				p.cancelAttempt(a)
			}
		}
	}
	p.module.restart(p.settings)
	p.schedule.wakeAt = math.Inf(1)
	p.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: p.endpoints.all()})
	if p.module.weights != nil {
		p.SetWeights(p.module.weights)
	}
}
