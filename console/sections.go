package console

import "github.com/balsamlock/balsamlock/plan"

const nameHelp = "Lower-case letters, digits, dots, hyphens and underscores; at most 64 characters."

func nameField() field {
	return field{
		path:  "name",
		label: "Name",
		help:  nameHelp,
		input: inputText,
	}
}

func textField(path, label, help string) field {
	return field{
		path:  path,
		label: label,
		help:  help,
		input: inputText,
	}
}

func numberField(path, label, help string) field {
	return field{
		path:  path,
		label: label,
		help:  help,
		input: inputNumber,
	}
}

func limitField(path, label, help string) field {
	f := numberField("limits."+path, label, help+" Empty or 0 means unlimited.")
	f.optional = true
	return f
}

func selectField(path, label, help string, options func(plan.Document) []string) field {
	return field{
		path:    path,
		label:   label,
		help:    help,
		input:   inputSelect,
		options: options,
	}
}

func listField(path, label, help string) field {
	return field{
		path:  path,
		label: label,
		help:  help + " One per line.",
		input: inputList,
	}
}

func optionalField(f field) field {
	f.optional = true
	return f
}

// sections holds the lists of the document. Lists come after the lists that they refer
// to.
var sections = []section{
	{
		list:     "regions",
		title:    "Regions",
		singular: "region",
		help:     "Groups of data centres with low-latency links between them.",
		summary:  []string{"data_centres"},
		fields:   []field{nameField(), listField("data_centres", "Data centres", "Each belongs to one region.")},
	},
	{
		list:     "links",
		title:    "Links",
		singular: "link",
		help:     "Bandwidth budgets for the traffic between two regions.",
		summary:  []string{"mbit_per_second"},
		fields: []field{
			selectField("from", "From", "A region.", regionNames),
			selectField("to", "To", "Another region.", regionNames),
			numberField("mbit_per_second", "Budget per direction", "In Mbit/s, greater than 0."),
		},
	},
	modelSection,
	serviceSection,
	{
		list:     "pools",
		title:    "Pools",
		singular: "pool",
		help:     "Sets of engines with one role for one model in one data centre.",
		summary:  []string{"model", "data_centre", "role", "min_servers"},
		fields: []field{
			nameField(),
			selectField("model", "Model", "The model that the engines run.", baseModelNames),
			selectField("data_centre", "Data centre", "Where the engines are.", dataCentreNames),
			selectField("role", "Role", "What the engines do.", staticOptions(plan.RolePrefill, plan.RoleDecode, plan.RoleBoth)),
			numberField("min_servers", "Minimum servers", "Number of servers that keep the role when servers are rebalanced between prefill and decode."),
		},
	},
	{
		list:     "servers",
		title:    "Backend servers",
		singular: "backend server",
		help:     "Model engines and servers of plain services.",
		summary:  []string{"kind", "address", "data_centre", "pool", "service"},
		fields: []field{
			nameField(),
			textField("address", "Address", "IP:port; host names are not resolved."),
			selectField("data_centre", "Data centre", "For an engine, the data centre of its pool.", dataCentreNames),
			selectField("kind", "Kind", "Type of workload that the server runs.", staticOptions(string(plan.KindEngine), string(plan.KindService))),
			optionalField(selectField("pool", "Pool", "Only for engines.", poolNames)),
			optionalField(selectField("service", "Service", "Only for servers of plain services.", serviceNames)),
			optionalField(numberField("slots", "Slots", "Number of requests that the engine decodes concurrently. Only for engines.")),
			{
				path:     "checks_fencing",
				label:    "Checks fencing tokens",
				help:     "The server refuses orders with a stale fencing token.",
				input:    inputCheck,
				optional: true,
			},
		},
	},
	callerSection,
}

var modelSection = section{
	list:     "models",
	title:    "Models",
	singular: "model",
	help:     "Models that callers can request, with their latency targets and limits.",
	summary:  []string{"version", "first_token_ms", "per_token_ms"},
	fields: []field{
		nameField(),
		textField("version", "Version", "The version that engines load."),
		{
			path:     "adapters",
			label:    "Adapters",
			help:     "Callers request an adapter by name, like a model. Rows without a name are ignored.",
			input:    inputRows,
			optional: true,
			columns:  []field{textField("name", "Name", ""), textField("version", "Version", "")},
		},
		numberField("first_token_ms", "Latency target for the first token", "In milliseconds."),
		numberField("per_token_ms", "Latency target per further token", "In milliseconds."),
		numberField("max_prompt_tokens", "Maximum prompt length", "In tokens."),
		numberField("max_output_tokens", "Maximum output length", "In tokens."),
		numberField("kv_bytes_per_token", "KV cache per token", "In bytes."),
	},
}

var serviceSection = section{
	list:     "services",
	title:    "Services",
	singular: "service",
	help:     "Plain services and their calls. Requests that match no call are refused.",
	summary:  nil,
	fields: []field{
		nameField(),
		{
			path:  "calls",
			label: "Calls",
			help:  "Matched in order. Calls that are not repeatable need an Idempotency-Key and run at most once. Rows without a name are ignored.",
			input: inputRows,
			columns: []field{
				textField("name", "Name", ""),
				selectField("method", "Method", "", staticOptions("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")),
				textField("path_prefix", "Path prefix", ""),
				numberField("deadline_ms", "Deadline (ms)", ""),
				{
					path:  "repeatable",
					label: "Repeatable",
					input: inputCheck,
				},
			},
		},
	},
}

var callerSection = section{
	list:     "callers",
	title:    "Callers",
	singular: "caller",
	help:     "Studios, desks and crews that share the account.",
	summary:  []string{"priority", "weight", "models", "services"},
	fields: []field{
		nameField(),
		listField("key_sha256", "Key digests", "SHA-256 digests of the caller's bearer keys, in hex."),
		{
			path:     "new_key",
			label:    "Add a key",
			help:     "A key of at least 16 characters. Only its digest is stored.",
			input:    inputNewKey,
			optional: true,
		},
		numberField("priority", "Priority", "0 to 9. Higher values are served first."),
		numberField("weight", "Weight", "Weight in fair queueing, 1 to 1000."),
		{
			path:    "models",
			label:   "Models and adapters",
			help:    "Those that the caller may use. * allows all.",
			input:   inputChoices,
			options: modelGrantOptions,
		},
		{
			path:    "services",
			label:   "Services",
			help:    "Those that the caller may use. * allows all.",
			input:   inputChoices,
			options: serviceGrantOptions,
		},
		optionalField(listField("pools", "Only these pools", "Empty allows all.")),
		optionalField(listField("servers", "Only these backend servers", "Empty allows all.")),
		limitField("requests_per_second", "Requests per second", ""),
		limitField("tokens_per_second", "Tokens per second", "Sum of prompt and output tokens."),
		limitField("concurrent", "Concurrent requests", ""),
		limitField("drafts", "Concurrent drafts", ""),
		limitField("cross_region_mb_per_day", "Traffic between regions", "In megabytes per day."),
		limitField("retry_percent", "Retries and hedges", "As a percentage of first attempts."),
	},
}
