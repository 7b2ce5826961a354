/** What a proxy does to the connections that go through it. */
export type ProxyMode = "pass" | "delay" | "silence" | "silence-answers" | "reset" | "refuse";
