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

// moduleHost holds the module and the state needed to build a new one after a panic.
type moduleHost struct {
	gather.Module
	build   ModuleFactory
	seed    uint64
	weights [][]gather.Weight // weights in effect
}

func newModuleHost(seed uint64, settings *gather.Settings, build ModuleFactory) moduleHost {
	return moduleHost{Module: build(seed, settings), build: build, seed: seed}
}

// restart replaces the module by a new one with another seed.
func (h *moduleHost) restart(settings *gather.Settings) {
	h.seed++
	h.Module = h.build(h.seed, settings)
}

// sendViews sends the module's view of the endpoints to each waiting caller.
func (h *moduleHost) sendViews(requests []chan<- []gather.EndpointView) {
	for _, request := range requests {
		if m, ok := h.Module.(interface{ View() []gather.EndpointView }); ok {
			request <- m.View()
		}
		close(request)
	}
}

// runModule runs the module. A panic of the module does not end the process: all open queries end with InternalError,
// and a new module starts from the endpoint list, as after a process restart.
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
	p.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: p.endpoints.list()})
	if p.module.weights != nil {
		p.SetWeights(p.module.weights)
	}
}
