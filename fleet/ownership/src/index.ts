export type { OwnershipEffect } from "./ownership-effect.js";
export type { OwnershipEvent } from "./ownership-event.js";
export type { OwnershipMember } from "./ownership-member.js";
export type { PromiseReply } from "./promise-reply.js";
export type { PromiseRequest } from "./promise-request.js";
export type { ShareTerm } from "./share-term.js";
