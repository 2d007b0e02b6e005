declare module "parse-prometheus-text-format" {
  interface Sample {
    readonly labels?: Readonly<Record<string, string>>;
    readonly value?: string;
    readonly count?: string;
    readonly quantiles?: Readonly<Record<string, string>>;
  }
  interface Family {
    readonly name: string;
    readonly type: string;
    readonly help: string;
    readonly metrics: readonly Sample[];
  }
  export default function parse(text: string): readonly Family[];
}
