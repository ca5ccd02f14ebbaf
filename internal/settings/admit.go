package settings

import (
	"math"
	"slices"

	"gannethook/internal/batch"
	"gannethook/internal/limits"
	"gannethook/internal/sexp"
)

// checkTenants validates the tenants, their identities and their budgets.
func (f *File) checkTenants() error {
	seen, ids := map[string]bool{}, map[string]bool{}
	for i := range f.Tenants {
		t := &f.Tenants[i]
		if seen[t.Name] {
			return sexp.Errorf(t.At, "tenant %q is given twice", t.Name)
		}
		seen[t.Name] = true
		for _, id := range t.Identity {
			if ids[id] {
				return sexp.Errorf(t.At, "identity %q is two tenants'", id)
			}
			ids[id] = true
		}
		for j := range t.Budgets {
			if err := f.checkBudget(&t.Budgets[j]); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkBudget validates a budget and fills in the default bursts: the requests of one second (at least 1) and the tokens of
// ten seconds.
func (f *File) checkBudget(b *Budget) error {
	switch {
	case b.Class != "" && f.ClassIndex(b.Class) < 0:
		return sexp.Errorf(b.At, "no class is named %q", b.Class)
	case b.Requests == 0 && b.Tokens == 0:
		return sexp.Errorf(b.At, "a budget has (requests ...), (tokens ...) or both")
	case b.Burst != 0 && (b.Requests == 0 || b.Burst < 1):
		return sexp.Errorf(b.At, "(burst ...) goes with (requests ...) and is 1 at the least")
	case b.TokenBurst != 0 && b.Tokens == 0:
		return sexp.Errorf(b.At, "(token-burst ...) goes with (tokens ...)")
	}
	if b.Burst == 0 && b.Requests > 0 {
		b.Burst = math.Max(float64(b.Requests), 1)
	}
	if b.TokenBurst == 0 {
		b.TokenBurst = sexp.Tokens(10 * b.Tokens)
	}
	return nil
}

// checkFrontEnd validates admission control, the HTTP APIs, API keys, and TLS for clients.
func (f *File) checkFrontEnd() error {
	a, h, t := &f.Admit, &f.HTTP, &f.TLS
	switch {
	case a.MaxWaiting < 1 || a.MinInFlight < 1 || a.StartInFlight < a.MinInFlight || a.MaxInFlight < a.StartInFlight || a.MaxClients < 1:
		return sexp.Errorf(a.At, "waiting, clients and in-hand-least are 1 at the least; in-hand-start and in-hand-most no less than that")
	case a.WaitPart <= 0 || a.WaitPart > 1:
		return sexp.Errorf(a.At, "wait-part is above 0 and 1 at the most")
	case h.MaxBody < 1024 || h.MaxBodies < h.MaxBody || h.MaxAnswer < 1024 || h.PartTokens < 1 || h.PartItems < 1 || h.PartsInFlight < 1 || h.PartAttempts < 1:
		return sexp.Errorf(f.At, "http: body and answer are 1KiB at the least, bodies no less than body; part, part-items, parts-out and part-tries 1")
	case f.Keys.File != "" && f.Keys.PollInterval <= 0:
		return sexp.Errorf(f.At, "(every ...) of the keys is above 0")
	}
	given := 0
	for _, s := range []string{t.Domain, t.Cert, t.Key, t.Authority} {
		if s != "" {
			given++
		}
	}
	if given != 0 && given != 4 || t.RequireClientCert && given == 0 {
		return sexp.Errorf(t.At, "tls needs (domain ...), (cert ...), (key ...) and (authority ...)")
	}
	for i := range f.Tenants {
		if len(f.Tenants[i].Identity) > 0 && given == 0 {
			return sexp.Errorf(f.Tenants[i].At, "(identity ...) needs (tls ...)")
		}
	}
	return nil
}

// ClassIndex returns the index of the class of a name, or -1.
func (f *File) ClassIndex(name string) int {
	return slices.IndexFunc(f.Classes, func(c Class) bool { return c.Name == name })
}

// ClassIndexForWork returns the index of the first class of a kind of work, or -1.
func (f *File) ClassIndexForWork(w Work) int {
	return slices.IndexFunc(f.Classes, func(c Class) bool { return c.Work == w })
}

// TenantIndex returns the index of the tenant of a name, or -1.
func (f *File) TenantIndex(name string) int {
	return slices.IndexFunc(f.Tenants, func(t Tenant) bool { return t.Name == name })
}

// TenantIndexForID returns the index of the tenant that a SPIFFE ID belongs to, or -1.
func (f *File) TenantIndexForID(id string) int {
	return slices.IndexFunc(f.Tenants, func(t Tenant) bool { return slices.Contains(t.Identity, id) })
}

// Limiter returns the settings of package limits. Without (admit (on yes)) its concurrency limit is unbounded, and it neither
// sheds load nor limits retries.
func (f *File) Limiter() limits.Settings {
	a := &f.Admit
	s := limits.Settings{Routers: f.Routers, MaxQueued: a.MaxWaiting, MaxWaitFraction: a.WaitPart, MinInFlight: a.MinInFlight, StartInFlight: a.StartInFlight,
		MaxInFlight: a.MaxInFlight, RetryRatio: a.Retries, MaxClients: a.MaxClients, Shed: a.Shed, MinRetryAfter: a.MinRetryAfter, MaxRetryAfter: a.MaxRetryAfter, Seed: f.Seed}
	if !a.On {
		s.MinInFlight, s.StartInFlight, s.MaxInFlight, s.Shed, s.RetryRatio = math.MaxInt32, math.MaxInt32, math.MaxInt32, false, 0
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, limits.Class{Aim: c.Aim, AimPer1000: c.AimPer1000, Worth: c.Worth, Priority: c.Priority})
	}
	for _, t := range f.Tenants {
		tenant := limits.Tenant{Weight: t.Weight}
		for _, b := range t.Budgets {
			class := -1
			if b.Class != "" {
				class = f.ClassIndex(b.Class)
			}
			tenant.Budgets = append(tenant.Budgets, limits.Budget{Class: class,
				Requests: limits.Rate{PerSecond: float64(b.Requests), Burst: b.Burst},
				Tokens:   limits.Rate{PerSecond: float64(b.Tokens), Burst: float64(b.TokenBurst)}})
		}
		s.Tenants = append(s.Tenants, tenant)
	}
	return s
}

// Batch returns the limits of the parts of batches. A part is not retried within the longest advised retry delay before the
// deadline.
func (f *File) Batch() batch.Limits {
	h := &f.HTTP
	return batch.Limits{MaxTokens: float64(h.PartTokens), MaxTexts: h.PartItems, MaxInFlight: h.PartsInFlight, MaxAttempts: h.PartAttempts,
		RetryMargin: f.Limits.MaxRetryAfter}
}
