/** Reason why a control call was refused before its method ran. */
export type RpcRefusal =
    | "oversized"
    | "unsigned"
    | "too-old"
    | "wrong-target"
    | "wrong-signature"
    | "replayed"
    | "malformed";
