import type { FindingsMessage } from "./findings-message.js";
import type { LoadAnswer } from "./load-answer.js";
import type { LoadQuery } from "./load-query.js";
import type { PermitAnswer } from "./permit-answer.js";
import type { PermitQuery } from "./permit-query.js";
import type { QuotaAnswer } from "./quota-answer.js";
import type { QuotaQuery } from "./quota-query.js";
import type { StatusMessage } from "./status-message.js";
import type { UpdatesMessage } from "./updates-message.js";

/** A datagram between daemons. */
export type FleetMessage =
    | StatusMessage
    | UpdatesMessage
    | LoadQuery
    | LoadAnswer
    | FindingsMessage
    | PermitQuery
    | PermitAnswer
    | QuotaQuery
    | QuotaAnswer;
