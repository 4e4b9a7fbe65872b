package migrate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// valueKind is what the value of a key has to be.
type valueKind string

const (
	kindNumber  valueKind = "number"
	kindNumbers valueKind = "numbers"
	kindShare   valueKind = "share"
	kindShares  valueKind = "shares"
	kindFlag    valueKind = "flag"
	kindText    valueKind = "text"
	kindTexts   valueKind = "texts"
)

// listKinds are the kinds of lists with the kind of their elements.
var listKinds = map[valueKind]valueKind{kindNumbers: kindNumber, kindShares: kindShare, kindTexts: kindText}

// oneOf is a choice of words.
func oneOf(words ...string) valueKind { return valueKind(strings.Join(words, "|")) }

// knownKeys are the keys of the settings, as the platform spells them.
var knownKeys = map[string]valueKind{
	"balancers": kindNumber, "myNumber": kindNumber, "tick": kindNumber, "tier": kindNumber, "overShareWorth": kindShare,
	"countedBy": oneOf("request", "work"), "discovery": oneOf("pushed", "on_request"), "zone": kindText,
	"weightSource": oneOf("silent", "nominal", "rough", "live"),
	"family":       kindText, "kinds": kindTexts, "dcs": kindTexts, "stages": kindTexts, "clients.marksRetry": kindFlag,

	"classes.name": kindText, "classes.goalTime": kindNumber, "classes.hardLimit": kindNumber, "classes.worth": kindNumber,
	"classes.effect": oneOf("pure", "token", "side_effect"), "classes.group": oneOf("all", "zone", "cell"),
	"classes.window": kindNumber, "classes.lateValue": kindShare, "classes.streaming": kindFlag,
	"classes.aimStretch": kindNumber,

	"tenants.name": kindText, "tenants.portion": kindShare, "tenants.quotaPerS": kindNumber,

	"domain.cells": kindNumber, "domain.inARow": kindNumber, "domain.shards": kindNumber, "domain.call": kindNumber,
	"domain.partsACall": kindNumber, "domain.classFloor": kindShares, "domain.completeFrom": kindShares,
	"domain.partialEarns": kindShares, "domain.secondStep": kindNumbers, "domain.warmKeys": kindFlag,

	"limits.attemptsCap": kindNumber, "limits.cancel": kindFlag, "limits.connectTimeout": kindNumber,
	"limits.cpuUsPerRequest": kindNumber, "limits.cpuUsPerS": kindNumber, "limits.idleClose": kindNumber,
	"limits.maxRetryAfter": kindNumber, "limits.mayTell": kindFlag, "limits.mostHeld": kindNumber,
	"limits.probes": kindFlag, "limits.retryAfter": kindFlag, "limits.secondCopies": kindFlag,
	"limits.streamsPerConn": kindNumber,

	"loadInfo.how": oneOf("piggyback", "pull", "silent"), "loadInfo.fields": kindTexts,

	"rules.answerSlack": kindNumber, "rules.budgetShare": kindNumber, "rules.cold": kindNumber,
	"rules.coldShare": kindShare, "rules.drainGrace": kindNumber, "rules.extraFloor": kindNumber,
	"rules.fall": kindNumber, "rules.fallMultiple": kindNumber, "rules.mustAskIn": kindNumber,
	"rules.resendSpan": kindNumber,
}

// sections hold keys of their own. Those of priceSections may have any name, with a number.
var (
	sections      = []string{"clients", "classes", "tenants", "domain", "limits", "loadInfo", "rules", "goal", "penalties"}
	listSections  = []string{"classes", "tenants"}
	priceSections = []string{"goal", "penalties"}
)

// check reports the first key that is unknown or whose value is out of range. A fleet's file may give null, which
// stands for no value.
func check(settings object, nulls bool) error {
	for _, key := range slices.Sorted(maps.Keys(settings)) {
		var err error
		if slices.Contains(sections, key) {
			err = checkSection(key, settings[key], nulls)
		} else {
			err = checkValue(key, settings[key], nulls)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func checkSection(section string, v any, nulls bool) error {
	entries, list := v.([]any)
	switch {
	case list && !slices.Contains(listSections, section):
		return fmt.Errorf("%s: is a list", section)
	case !list && slices.Contains(listSections, section):
		return fmt.Errorf("%s: is no list", section)
	case !list:
		entries = []any{v}
	}
	for _, entry := range entries {
		o, found := entry.(object)
		if !found {
			return fmt.Errorf("%s: is no object", section)
		}
		for _, key := range slices.Sorted(maps.Keys(o)) {
			if err := checkValue(section+"."+key, o[key], nulls && !list); err != nil {
				return err
			}
		}
	}
	return nil
}

// kindOf returns the kind of a key, and whether it is known.
func kindOf(path string) (valueKind, bool) {
	section, _, _ := strings.Cut(path, ".")
	if slices.Contains(priceSections, section) && section != path {
		return kindNumber, true
	}
	kind, known := knownKeys[path]
	return kind, known
}

func checkValue(path string, v any, nulls bool) error {
	kind, known := kindOf(path)
	if !known {
		return fmt.Errorf("%s: unknown key", path)
	}
	if v == nil && nulls {
		return nil
	}
	values, list := v.([]any)
	element, wantsList := listKinds[kind]
	switch {
	case wantsList && !list:
		return fmt.Errorf("%s: is no list", path)
	case !wantsList && list:
		return fmt.Errorf("%s: is a list", path)
	case !wantsList:
		element, values = kind, []any{v}
	}
	for _, v := range values {
		if problem := element.problem(v); problem != "" {
			return fmt.Errorf("%s: %v is %s", path, v, problem)
		}
	}
	return nil
}

// problem says what a value is not, empty where it is of the kind.
func (k valueKind) problem(v any) string {
	number, isNumber := v.(float64)
	text, isText := v.(string)
	_, isFlag := v.(bool)
	switch k {
	case kindNumber:
		if !isNumber || number < 0 {
			return "no number from 0 on"
		}
	case kindShare:
		if !isNumber || number < 0 || number > 1 {
			return "no share from 0 to 1"
		}
	case kindFlag:
		if !isFlag {
			return "no true or false"
		}
	case kindText:
		if !isText {
			return "no text"
		}
	default:
		words := strings.Split(string(k), "|")
		if !isText || !slices.Contains(words, text) {
			return "none of " + strings.Join(words, ", ")
		}
	}
	return ""
}
