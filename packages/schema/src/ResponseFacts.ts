/** What the response of a backend server says of the call, as logged for attempts that failed by it. */

/** Which call a response names. */
export type NamedCall = 'thisCall' | 'anotherCall' | 'noCall';

export interface ResponseFacts {
  /** HTTP status. */
  readonly status: number;
  /** True if the response states that the call was not run; undefined for an answer to the call. */
  readonly isDeclined?: boolean;
  readonly namedCall?: NamedCall;
}
