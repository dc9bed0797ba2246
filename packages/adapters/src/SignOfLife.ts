/** What a backend server's answer to a probe tells. */
export interface SignOfLife {
  /** What its process calls itself since its start; missing if it tells none. */
  readonly incarnation?: string;
}
