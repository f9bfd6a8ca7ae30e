//! Requests whose bodies arrive late or break off.

use http::Method;
use testkit::raw::RawConnection;
use testkit::users::backend::Behaviour;
use testkit::users::configuration::DEFAULT_HOST;
use testkit::users::mesh::{CallerRequest, Mesh, Plan, REQUEST_ID};

use crate::support::{SERVICES, start_serving_users_mesh};

/// Body of a payment, in the two parts in which it is sent.
const FIRST_PART: &str = "amount=12";
const SECOND_PART: &str = "&to=cobros";

async fn start_mesh() -> Mesh {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan.behaviour = Behaviour {
        slots: 1,
        ..Behaviour::default()
    };
    start_serving_users_mesh(plan).await
}

/// Sends the head of a payment and the first part of its body.
async fn begin_payment(mesh: &Mesh, entry: usize, id: &str) -> RawConnection {
    let address = mesh.vms[entry].node().addresses.caller;
    let connection = RawConnection::connect(address).await;
    let mut connection = connection.expect("the node accepts connections");
    let length = FIRST_PART.len() + SECOND_PART.len();
    let head = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: {DEFAULT_HOST}\r\n{REQUEST_ID}: {id}\r\nX-Dfw-Deadline-Ms: 5000\r\nContent-Length: {length}\r\n\r\n{FIRST_PART}"
    );
    connection.send(head).await.expect("the node reads");
    connection
}

async fn pay(mesh: &Mesh, entry: usize, id: &str) -> u16 {
    let path = format!("/book/{id}");
    let request = CallerRequest {
        method: Method::POST,
        body: b"amount=1",
        ..CallerRequest::get(&path, id)
    };
    let reply = mesh.send_request(entry, &request).await;
    reply.expect("the node responds").status.as_u16()
}

/// Positions of an entry node without the backend server of payments, and of its own node.
fn entries(mesh: &Mesh) -> [usize; 2] {
    [mesh.vms_of(SERVICES[0])[0], mesh.vms_of(SERVICES[1])[0]]
}

/// Guards against callers that occupy a backend server while they send their requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_awaited_holds_no_slot() {
    let mesh = start_mesh().await;
    for entry in entries(&mesh) {
        let (slow, fast) = (format!("slow{entry}"), format!("fast{entry}"));
        let mut connection = begin_payment(&mesh, entry, &slow).await;
        assert_eq!(pay(&mesh, entry, &fast).await, 200, "entry {entry}");
        connection.send(SECOND_PART).await.expect("the node reads");
        let response = connection.read_response().await;
        assert_eq!(response.expect("the node responds").status, 200);
    }
}

/// Guards against a backend server that gets the start of a payment that its caller never sent whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_breaks_off_reaches_no_backend_server() {
    let mesh = start_mesh().await;
    for entry in entries(&mesh) {
        let connection = begin_payment(&mesh, entry, &format!("broken{entry}")).await;
        // The start of the other request has been read when this one is answered.
        assert_eq!(pay(&mesh, entry, &format!("whole{entry}")).await, 200);
        drop(connection);
    }
    let paid = mesh.vms[mesh.vms_of(SERVICES[1])[0]].backend().record();
    assert_eq!(paid.runs.len(), 2);
    assert_eq!(paid.requests, 2, "only whole requests arrived");
}
