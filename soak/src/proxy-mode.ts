/** How a fault proxy handles its connections. */
export type ProxyMode = "pass" | "delay" | "drop" | "drop-responses" | "reset" | "refuse";
