/** What tests write into a configuration; the rest has defaults. */

/** A route of a test; the rest has defaults. */
export interface TestRoute {
  readonly name: string;
  readonly service: string;
  readonly kind?: 'safe' | 'unsafe' | 'upload';
  readonly timeoutMs?: number;
  readonly targetLatencyMs?: number;
  readonly priority?: number;
  readonly maxAttempts?: number;
  readonly split?: readonly { service: string; weight: number }[];
  readonly policies?: readonly string[];
  readonly credential?: { readonly header: string; readonly secret: string };
  readonly isPublic?: boolean;
}

/** A tenant of a test; the rest has defaults. */
export interface TestTenant {
  readonly name: string;
  readonly apiKeys: readonly string[];
  readonly priority?: number;
  readonly ratePerS?: number;
  readonly burst?: number;
}

/** What a configuration of a test holds beside its routes. */
export interface TestComplements {
  readonly policies?: readonly { readonly name: string; readonly allow: string }[];
  readonly secrets?: readonly { readonly name: string; readonly digest: string }[];
  readonly tenants?: readonly TestTenant[];
}
