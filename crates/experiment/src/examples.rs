//! The users' two deployments with their team files, and calls that show the effect of these files.

use testkit::mesh::Deployment;

/// A request to a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) service: &'static str,
    pub(crate) method: &'static str,
    pub(crate) path: &'static str,
    /// Short description of the request, for the output.
    pub(crate) description: &'static str,
}

/// An edit of a team file that changes the answer to a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Edit {
    /// Position of the edited file in [`Example::files`].
    pub(crate) file_index: usize,
    pub(crate) old_text: &'static str,
    pub(crate) new_text: &'static str,
    /// A call that times out before the edit and is answered after it.
    pub(crate) slow_call: Call,
}

/// A deployment, its team files, the calls to make and the edit to publish.
#[derive(Debug)]
pub(crate) struct Example {
    pub(crate) name: &'static str,
    pub(crate) deployment: Deployment,
    pub(crate) files: Vec<String>,
    pub(crate) calls: Vec<Call>,
    pub(crate) edit: Edit,
}

impl Example {
    /// All files, with [`Self::edit`] applied.
    pub(crate) fn edited_files(&self) -> Vec<String> {
        let mut files = self.files.clone();
        let text = &mut files[self.edit.file_index];
        *text = text.replacen(self.edit.old_text, self.edit.new_text, 1);
        files
    }
}

fn call(
    method: &'static str,
    service: &'static str,
    path: &'static str,
    description: &'static str,
) -> Call {
    Call {
        service,
        method,
        path,
        description,
    }
}

/// Returns the example with this name, or `None` if there is none.
pub(crate) fn by_name(name: &str) -> Option<Example> {
    match name {
        "chatarras" => Some(chatarras()),
        "marinhas" => Some(marinhas()),
        _ => None,
    }
}

/// The example of the organisation Chatarras Cantabrico Boletines.
pub(crate) fn chatarras() -> Example {
    let files = [
        include_str!("../../../examples/chatarras/boletines.toml"),
        include_str!("../../../examples/chatarras/suscripciones.toml"),
        include_str!("../../../examples/chatarras/bascula.toml"),
    ];
    Example {
        name: "chatarras",
        deployment: Deployment::chatarras(),
        files: files.map(str::to_owned).into(),
        calls: vec![
            call("GET", "tablon", "/prices/copper", "a dealer reads a price"),
            call("POST", "cobros", "/payments", "a payment"),
            call("PUT", "bascula", "/bundles/7", "a photo bundle"),
            call("GET", "hemeroteca", "/archive/1998", "an archive look-up"),
        ],
        edit: Edit {
            file_index: 0,
            old_text: "timeout_ms = 800",
            new_text: "timeout_ms = 3000",
            slow_call: call("GET", "tablon", "/prices/steel", "a slow price"),
        },
    }
}

/// The example of the organisation Marinhas Digitais.
pub(crate) fn marinhas() -> Example {
    let files = [
        include_str!("../../../examples/marinhas/armazem.toml"),
        include_str!("../../../examples/marinhas/expedicao.toml"),
        include_str!("../../../examples/marinhas/balanco.toml"),
    ];
    Example {
        name: "marinhas",
        deployment: Deployment::marinhas(),
        files: files.map(str::to_owned).into(),
        calls: vec![
            call("GET", "armazem", "/stock/7", "a keeper reads the stock"),
            call("POST", "expedicao", "/dispatches", "a dispatch booking"),
            call("PUT", "pesagem", "/sheets/3", "a weighbridge sheet"),
            call(
                "GET",
                "balanco",
                "/reconciliations/1",
                "a clerk's reconciliation",
            ),
        ],
        edit: Edit {
            file_index: 0,
            old_text: "timeout_ms = 1500",
            new_text: "timeout_ms = 4000",
            slow_call: call("GET", "armazem", "/stock/8", "a slow stock figure"),
        },
    }
}
