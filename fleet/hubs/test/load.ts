export const LOAD = { inFlight: 1, queued: 0, slots: 2, slownessPercent: 120 };
