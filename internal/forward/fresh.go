package forward

// fresh reports whether the configuration is confirmed to be recent enough for keys. It must
// be asked before the configuration is read, so that the configuration of the request is not
// older than the confirmed one.
func (h *Handler) fresh() bool { return h.Fresh == nil || h.Fresh() }

// needsKey reports whether the request needs a key of an organisation.
func (c *call) needsKey() bool { return c.config.NeedsKeys() && !c.route.Public }

// unconfirmed reports whether the request must not be sent, since the entry can't show that
// its configuration is recent enough.
func (c *call) unconfirmed() bool { return c.needsKey() && !c.h.fresh() }

// NeedsKeys reports whether requests need keys, unless their route is public.
func (c *Config) NeedsKeys() bool { return c.Organisations != nil }
